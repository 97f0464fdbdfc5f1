package forecast

import "time"

// Turn returns the time by which started jobs of equal priority are ordered, the earliest first. Those with less work left come first, so
// that most of them end soon. The work adds at most the job's late limit to the time of its acceptance, so a job is never passed by
// those that are accepted later than its late limit, and no size starves. typical is the mean work of the jobs that are compared.
func Turn(acceptedAt time.Time, lateLimit time.Duration, work, typical int64) time.Time {
	if work <= 0 {
		return acceptedAt
	}
	return acceptedAt.Add(time.Duration(float64(lateLimit) * float64(work) / float64(work+max(typical, 1))))
}
