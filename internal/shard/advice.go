package shard

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// maxAdvisedWorkers is the maximum number of workers that one request asks about. A request takes longer the more
	// workers it names, and a job's objective leaves time for one request per step that names about 30 workers.
	maxAdvisedWorkers = 30
	// ticketMargin is subtracted from a ticket's validity period, since the start still has to be recorded and sent.
	ticketMargin = 300 * time.Millisecond
	// adviceRetryDelay is the pause after a request that was refused or not answered.
	adviceRetryDelay = 150 * time.Millisecond
)

// AdviceRequest is a request to the placement advice service: which of the workers may run a step?
type AdviceRequest struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []string
}

// Name returns the step's name as the service knows it.
func (a AdviceRequest) Name() string {
	name := workflow.TaskKey{Occurrence: a.Occurrence, Step: a.Step}.Name(a.Job)
	return name[:strings.LastIndexByte(name, '.')]
}

// Ticket permits a worker to run the tasks of a step.
type Ticket struct {
	Text   string
	Worker string
}

// AdviceResponse is the response to an advice request.
type AdviceResponse struct {
	Error error
	// Tickets holds a ticket for each requested worker that may run the step.
	Tickets []Ticket
	// ValidFor is how long the tickets are valid.
	ValidFor time.Duration
}

// cachedAdvice is the latest advice on a worker for a step. If allowed is false, the worker may not run the step, and
// the other fields are not set.
type cachedAdvice struct {
	incarnation int64
	allowed     bool
	ticket      string
	until       time.Time
}

// ticket returns the worker's valid ticket for the step of a task, or "" if there is none.
func (o *Owner) ticket(now time.Time, w *worker, t *task) string {
	p, ok := t.job.occurrences[t.key.Occurrence].advice[t.key.Step][w.ID]
	if !ok || p.incarnation != w.life.Born() || !now.Before(p.until) {
		return ""
	}
	return p.ticket
}

// isAdvisedAgainst reports whether the worker is known not to be allowed to run the step of a task.
func (t *task) isAdvisedAgainst(w *worker) bool {
	p, ok := t.job.occurrences[t.key.Occurrence].advice[t.key.Step][w.ID]
	return ok && !p.allowed
}

// lacksAdvice reports whether the advice on a worker is missing or has expired. A negative answer does not expire,
// since the set of workers that may run a step never changes.
func (o *Owner) lacksAdvice(now time.Time, w *worker, t *task) bool {
	p, ok := t.job.occurrences[t.key.Occurrence].advice[t.key.Step][w.ID]
	return !ok || p.allowed && (p.incarnation != w.life.Born() || !now.Before(p.until))
}

// requestAdvice requests advice on the workers that could take the task, the best first. The service handles a host's
// requests one at a time, so only one is sent at a time.
func (o *Owner) requestAdvice(now time.Time, t *task) {
	if o.adviceInFlight {
		return
	}
	if now.Before(o.nextAdviceAt) {
		o.waitUntil(o.nextAdviceAt)
		return
	}
	var candidates []*worker
	for _, w := range o.sortedWorkers() {
		if o.hasRoom(now, w, t) && o.lacksAdvice(now, w, t) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int {
		switch d := o.score(b, t) - o.score(a, t); {
		case d < 0:
			return -1
		case d > 0:
			return 1
		}
		return 0
	})
	a := AdviceRequest{Job: t.job.ID, Occurrence: t.key.Occurrence, Step: t.key.Step}
	for _, w := range candidates[:min(len(candidates), maxAdvisedWorkers)] {
		a.Workers = append(a.Workers, w.ID)
	}
	o.adviceInFlight = true
	o.adviceRequests = append(o.adviceRequests, a)
}

// Advised handles the response of the placement advice service to a request that was sent at sent.
func (o *Owner) Advised(now time.Time, a AdviceRequest, sent time.Time, r AdviceResponse) {
	o.adviceInFlight = false
	f := logrus.Fields{"decision": "advice", "job": a.Job, "step": a.Step, "asked": len(a.Workers), "good": len(r.Tickets)}
	if r.Error != nil {
		o.nextAdviceAt = now.Add(adviceRetryDelay)
		o.log.WithError(r.Error).WithFields(f).Warn("placement advice request failed")
		return
	}
	o.log.WithFields(f).Debug("received placement advice")
	j := o.jobs[a.Job]
	if j == nil || j.occurrences[a.Occurrence] == nil {
		return
	}
	occ := j.occurrences[a.Occurrence]
	if occ.advice[a.Step] == nil {
		occ.advice[a.Step] = map[string]cachedAdvice{}
	}
	for _, id := range a.Workers {
		occ.advice[a.Step][id] = cachedAdvice{}
	}
	for _, t := range r.Tickets {
		if w := o.workers[t.Worker]; w != nil {
			// The validity period starts with the response. Counting it from the time of the request is conservative.
			occ.advice[a.Step][t.Worker] = cachedAdvice{
				incarnation: w.life.Born(), allowed: true, ticket: t.Text, until: sent.Add(r.ValidFor - ticketMargin),
			}
		}
	}
}

// expireTicket marks the ticket of an attempt that its worker refused as expired, so that new advice is requested.
func (o *Owner) expireTicket(at *attempt) {
	stepAdvice := at.task.job.occurrences[at.task.key.Occurrence].advice[at.task.key.Step]
	if p, ok := stepAdvice[at.worker.ID]; ok {
		p.until = time.Time{}
		stepAdvice[at.worker.ID] = p
	}
}
