package admission

import "time"

const (
	// estimateWeight is the weight of the newest request in the moving averages.
	estimateWeight = 0.1
	// initialServiceTime is assumed until the first request of a service has ended.
	initialServiceTime = 10 * time.Millisecond
	// tailDeviations is the number of mean deviations added to the mean service time when a deadline
	// is checked. With the mean alone, waiting times stay just below the deadline and many requests
	// miss it: in a flood, the flooding service got 0.86 of the slots left for it instead of 0.97.
	tailDeviations = 3
)

// serviceTimeEstimate holds exponentially weighted moving averages of service times and of their absolute
// deviation.
type serviceTimeEstimate struct {
	deviation time.Duration
	mean      time.Duration
}

func (e *serviceTimeEstimate) add(d time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = max(d, 1), d/4
		return
	}
	off := d - e.mean
	e.mean = max(1, e.mean+time.Duration(estimateWeight*float64(off)))
	e.deviation += time.Duration(estimateWeight * float64(off.Abs()-e.deviation))
}

func (e *serviceTimeEstimate) meanServiceTime() time.Duration {
	if e.mean == 0 {
		return initialServiceTime
	}
	return e.mean
}

// tailServiceTime returns the time within which most requests end.
func (e *serviceTimeEstimate) tailServiceTime() time.Duration {
	return e.meanServiceTime() + tailDeviations*e.deviation
}
