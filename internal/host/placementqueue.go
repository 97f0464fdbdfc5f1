package host

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/job"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
)

const (
	// maxTasksPerPass limits the tasks of one placement pass, so that a flood of jobs does not delay heartbeats.
	maxTasksPerPass = 256
	// queueLimit is above the number of waiting tasks in one shard at the target size.
	queueLimit = 100_000
)

// placementQueue keeps the order of a shard's waiting batch tasks across placement passes.
type placementQueue struct {
	queue  *job.Queue
	inPass map[string]job.Task
	queued map[string]bool
}

func newPlacementQueue() *placementQueue {
	return &placementQueue{
		queue:  job.NewQueue(job.WithKeptRate(1), job.WithLimit(queueLimit)),
		queued: map[string]bool{},
		inPass: map[string]job.Task{},
	}
}

// next returns the tasks to place in this pass: replicas first, then batch tasks in queue order. Tasks that the last
// pass took but did not place are put back first.
func (q *placementQueue) next(
	now time.Time, candidates []ledger.Candidate, hasReservation func(ledger.Candidate) bool,
) []ledger.Candidate {
	for _, t := range q.inPass {
		q.queue.PutBack(now, t)
	}
	clear(q.inPass)
	var out []ledger.Candidate
	waiting := make(map[string]ledger.Candidate, len(candidates))
	for _, c := range candidates {
		switch {
		case hasReservation(c):
		case c.Job.IsLatencyCritical():
			out = append(out, c)
		default:
			waiting[c.Task] = c
			q.add(c)
		}
	}
	for _, t := range q.queue.Take(now, maxTasksPerPass) {
		c, ok := waiting[t.ID]
		if !ok {
			q.queue.Started(now, t.ID)
			delete(q.queued, t.ID)
			continue
		}
		q.inPass[t.ID] = t
		out = append(out, c)
	}
	return out
}

// placed removes a task that was placed.
func (q *placementQueue) placed(now time.Time, task string) {
	if _, ok := q.inPass[task]; !ok {
		return
	}
	q.queue.Started(now, task)
	delete(q.inPass, task)
	delete(q.queued, task)
}

func (q *placementQueue) add(c ledger.Candidate) {
	if q.queued[c.Task] {
		return
	}
	t := job.Task{
		ID: c.Task, Job: c.Job.ID, Priority: c.Job.Priority, Resources: c.Job.Resources,
		Submitted: time.UnixMilli(c.Job.SubmittedAt), Team: c.Job.Team, Work: c.Job.Work,
	}
	if c.Job.DeadlineAt != 0 {
		t.Deadline = time.UnixMilli(c.Job.DeadlineAt)
	}
	if q.queue.Add(t) == nil {
		q.queued[c.Task] = true
	}
}
