package entry

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// expectationTime is how long a shard's owner expects a job after a host has chosen the shard for it: the time to record the job and to
// notify the owner. A job that has not come by then was most likely refused.
const expectationTime = acceptTimeout + notifyTimeout

// expectedJobs are the jobs for which hosts have chosen a shard and which its owner does not have yet. They count in the load that the
// owner reports. Otherwise all hosts send the jobs of a burst to the shard that had the most room before it.
type expectedJobs map[string]expectedJob

type expectedJob struct {
	// demand is the load of a shard that has nothing but the job.
	demand  shard.Load
	service string
	until   time.Time
}

// add notes that a job is expected.
func (e expectedJobs) add(now time.Time, id, service string, demand shard.Load) {
	e[id] = expectedJob{demand: demand, service: service, until: now.Add(expectationTime)}
}

// demand returns the demand of the jobs that are expected for a service. It forgets those that have come or are overdue.
func (e expectedJobs) demand(now time.Time, service string, hasCome func(id string) bool) shard.Load {
	var sum shard.Load
	for id, j := range e {
		switch {
		case now.After(j.until), hasCome(id):
			delete(e, id)
		case j.service == service:
			sum = sum.WithExpected(j.demand)
		}
	}
	return sum
}
