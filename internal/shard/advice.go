package shard

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// maxAdvisedWorkers is how many workers a call asks about. The objective of a job counts one call on 30 workers for
	// each step.
	maxAdvisedWorkers = 30
	// ticketMargin is how long before its end a ticket is no longer used: a start is recorded and sent first.
	ticketMargin = 300 * time.Millisecond
	// adviceRetryDelay is the pause after a call that was refused or got no answer.
	adviceRetryDelay = 150 * time.Millisecond
)

// Advise asks the placement advice service which workers may run a step.
type Advise struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []string
}

// Name returns the name of the step that the service knows.
func (a Advise) Name() string {
	name := workflow.TaskKey{Occurrence: a.Occurrence, Step: a.Step}.Name(a.Job)
	return name[:strings.LastIndexByte(name, '.')]
}

// Ticket lets a worker run the tasks of a step.
type Ticket struct {
	Text   string
	Worker string
}

// Advised is the answer to an Advise.
type Advised struct {
	Error error
	// Tickets lists the workers of the request that may run the step.
	Tickets []Ticket
	Valid   time.Duration
}

// permit is what is known of a worker and a step.
type permit struct {
	incarnation int64
	ok          bool
	ticket      string
	until       time.Time
}

// ticket returns the valid ticket of a worker for a task's step, empty if there is none.
func (o *Owner) ticket(now time.Time, w *worker, t *task) string {
	p, ok := t.job.occurrences[t.key.Occurrence].permits[t.key.Step][w.ID]
	if !ok || p.incarnation != w.incarnation || !now.Before(p.until) {
		return ""
	}
	return p.ticket
}

// lacksAdvice reports whether the advice on a worker is missing or has run out; which workers may run a step never changes.
func (o *Owner) lacksAdvice(now time.Time, w *worker, t *task) bool {
	p, ok := t.job.occurrences[t.key.Occurrence].permits[t.key.Step][w.ID]
	return !ok || p.ok && (p.incarnation != w.incarnation || !now.Before(p.until))
}

// requestAdvice asks about the workers that could take the task, the best first. The service answers a host's calls one
// after the other, so one is under way at a time.
func (o *Owner) requestAdvice(now time.Time, t *task) {
	if o.adviceInFlight || now.Before(o.nextAdviceAt) {
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
	a := Advise{Job: t.job.ID, Occurrence: t.key.Occurrence, Step: t.key.Step}
	for _, w := range candidates[:min(len(candidates), maxAdvisedWorkers)] {
		a.Workers = append(a.Workers, w.ID)
	}
	o.adviceInFlight = true
	o.adviceRequests = append(o.adviceRequests, a)
}

// Advised takes the answer of the placement advice service to a request that was sent at sent.
func (o *Owner) Advised(now time.Time, a Advise, sent time.Time, r Advised) {
	o.adviceInFlight = false
	f := logrus.Fields{"decision": "advice", "job": a.Job, "step": a.Step, "asked": len(a.Workers), "good": len(r.Tickets)}
	if r.Error != nil {
		o.nextAdviceAt = now.Add(adviceRetryDelay)
		o.log.WithError(r.Error).WithFields(f).Warn("placement advice is missing")
		return
	}
	o.log.WithFields(f).Debug("placement advice came")
	j := o.jobs[a.Job]
	if j == nil || j.occurrences[a.Occurrence] == nil {
		return
	}
	occ := j.occurrences[a.Occurrence]
	if occ.permits[a.Step] == nil {
		occ.permits[a.Step] = map[string]permit{}
	}
	for _, id := range a.Workers {
		occ.permits[a.Step][id] = permit{}
	}
	for _, t := range r.Tickets {
		if w := o.workers[t.Worker]; w != nil {
			// The validity counts from the answer, which came after the request was sent.
			occ.permits[a.Step][t.Worker] = permit{
				incarnation: w.incarnation, ok: true, ticket: t.Text, until: sent.Add(r.Valid - ticketMargin),
			}
		}
	}
}

// forgetTicket drops a ticket that a worker refused.
func (o *Owner) forgetTicket(at *attempt) {
	permits := at.task.job.occurrences[at.task.key.Occurrence].permits[at.task.key.Step]
	if p, ok := permits[at.worker.ID]; ok {
		p.until = time.Time{}
		permits[at.worker.ID] = p
	}
}
