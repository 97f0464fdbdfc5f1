package shard

import "time"

// startTime is how long a start takes to reach its worker. It is the part of ticketMargin that remains once an attempt is recorded.
const startTime = 100 * time.Millisecond

// refreshTicket replaces the ticket of an attempt if it is too old for a start. It reports whether the attempt may be started.
func (o *Owner) refreshTicket(now time.Time, at *attempt) bool {
	if at.task.job.queue.Advice == nil || now.Before(at.ticketUntil) {
		return true
	}
	ticket := o.ticket(now, at.worker, at.task)
	if ticket == "" {
		return false
	}
	p := at.task.job.occurrences[at.task.key.Occurrence].advice[at.task.key.Step][at.worker.ID]
	at.ticket, at.ticketUntil = ticket, p.until.Add(ticketMargin-startTime)
	return true
}

// renewTickets requests advice for recorded attempts of a step whose tickets expired while the attempts waited for their record. It
// comes before placement, whose requests would otherwise follow each other.
func (o *Owner) renewTickets(now time.Time, a *Actions) {
	if o.adviceInFlight {
		return
	}
	var request AdviceRequest
	for _, w := range o.sortedWorkers() {
		for _, at := range w.attempts {
			t := at.task
			if at.phase != phaseReady || o.refreshTicket(now, at) || t.isAdvisedAgainst(w) {
				continue
			}
			if now.Before(o.nextAdviceAt) {
				a.wakeAt(o.nextAdviceAt)
				return
			}
			if len(request.Workers) == 0 {
				request.Job, request.Occurrence, request.Step = t.job.ID, t.key.Occurrence, t.key.Step
			}
			if request.Job == t.job.ID && request.Occurrence == t.key.Occurrence && request.Step == t.key.Step &&
				len(request.Workers) < maxAdvisedWorkers {
				request.Workers = append(request.Workers, w.ID)
				break
			}
		}
	}
	if len(request.Workers) > 0 {
		o.adviceInFlight = true
		o.adviceRequests = append(o.adviceRequests, request)
	}
}
