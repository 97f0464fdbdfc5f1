package ledger

import (
	"fmt"
	"time"
)

// maxBatch bounds the changes of one batch, which keeps an entry far below the store's value limit.
const maxBatch = 500

// Committed takes the news that the batch in flight is in the log.
func (o *Owner) Committed(now time.Time) {
	if o.pending == nil {
		return
	}
	b := *o.pending
	o.pending, o.resolve, o.inFlight = nil, false, nil
	next, err := o.state.Apply(b)
	if err != nil {
		o.violated("ledger_apply", err.Error())
		o.deposed = true
		return
	}
	o.state = next
	for _, c := range b.Changes {
		o.committed(now, c)
	}
	o.mark()
}

// Conflicted takes the news that another writer appended first: the shard was taken over.
func (o *Owner) Conflicted() { o.deposed = true }

// MayRebind reports whether a waiting task may be bound to another worker now. It can't start until that is
// committed, so while the store fails it stays where it is bound.
func (o *Owner) MayRebind(now time.Time) bool {
	return o.holdsLease(now) && now.Sub(o.commitFailed) >= o.timing.PlatformHold
}

// NotCommitted takes the news that the batch in flight is certainly not in the log; it is proposed again but for
// rebindings, whose tasks may start where they are bound.
func (o *Owner) NotCommitted() {
	o.inFlight, o.commitFailed = nil, o.lastCommit
	if o.pending == nil || o.resolve {
		return // an earlier append of the batch may have taken effect
	}
	changes := o.withoutRebindings(o.pending.Changes)
	o.queue = o.withoutRebindings(o.queue)
	o.pending = nil
	if len(changes) > 0 {
		b := NewBatch(o.lastCommit, changes...)
		o.pending = &b
	}
}

// OutcomeUnknown takes the news that the batch in flight may be in the log; it is proposed again unchanged.
func (o *Owner) OutcomeUnknown() {
	o.commitFailed, o.inFlight, o.resolve = o.lastCommit, nil, true
}

func (o *Owner) committed(now time.Time, c Change) {
	switch c.Kind {
	case ChangeTakeOver:
		o.takenAt = now
	case ChangeAccept:
		delete(o.proposed, c.Job.ID)
		for _, id := range c.Job.TaskIDs() {
			o.addRun(o.state.tasks[id])
		}
	case ChangeBind:
		if r := o.runs[c.Task]; r != nil {
			if r.mayHold() {
				o.violated("bind_without_proof", fmt.Sprintf("task %s from %s to %s", c.Task, r.worker, c.Worker))
			}
			r.worker, r.proposed, r.attempt, r.settled = c.Worker, "", c.Attempt, c.Attempt
			r.attemptKnown = true
		}
	case ChangeEnd:
		delete(o.runs, c.Task)
	case ChangePark, ChangeWithdraw:
		for _, id := range o.state.jobs[c.JobID].Job.TaskIDs() {
			if o.state.tasks[id].Phase.IsEnd() {
				delete(o.runs, id)
			}
		}
	}
}

// nextCommit returns the batch to append, one at a time.
func (o *Owner) nextCommit(now time.Time) *Commit {
	if o.inFlight != nil || now.Sub(o.lastCommit) < o.timing.CommitEvery {
		return nil
	}
	if o.pending == nil {
		if len(o.queue) == 0 || !o.draining && o.onlyCheckpoints() && now.Sub(o.lastCommit) < o.timing.CheckpointEvery {
			return nil
		}
		n := min(len(o.queue), maxBatch)
		b := NewBatch(now, o.queue[:n]...)
		o.pending, o.queue = &b, append([]Change(nil), o.queue[n:]...)
	}
	o.lastCommit = now
	o.inFlight = &Commit{Batch: *o.pending, Resolve: o.resolve}
	return o.inFlight
}

func (o *Owner) onlyCheckpoints() bool {
	for _, c := range o.queue {
		if c.Kind != ChangeCheckpoint {
			return false
		}
	}
	return true
}

// propose queues a change for the next batch. A draining owner takes none: workers repeat what is not
// acknowledged, so the next owner learns of it, and tasks that go on writing checkpoints would otherwise keep
// the handover from ever being complete.
func (o *Owner) propose(c Change) {
	if !o.draining {
		o.queue = append(o.queue, c)
	}
}

// withoutRebindings withdraws the proposals to bind tasks that are bound to a worker already.
func (o *Owner) withoutRebindings(changes []Change) []Change {
	var out []Change
	for _, c := range changes {
		r := o.runs[c.Task]
		if c.Kind != ChangeBind || r == nil || r.worker == "" {
			out = append(out, c)
			continue
		}
		r.proposed = ""
	}
	return out
}
