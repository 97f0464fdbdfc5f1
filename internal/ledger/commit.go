package ledger

import (
	"fmt"
	"time"
)

// maxBatchChanges limits the size of a batch, which keeps a log entry far below the store's value size limit.
const maxBatchChanges = 500

// Committed records that the batch in flight is in the log, and applies it.
func (o *Owner) Committed(now time.Time) {
	if o.uncommittedBatch == nil {
		return
	}
	b := *o.uncommittedBatch
	o.uncommittedBatch, o.outcomeUnknown, o.inFlightCommit = nil, false, nil
	next, err := o.state.Apply(b)
	if err != nil {
		o.reportViolation("ledger_apply", err.Error())
		o.deposed = true
		return
	}
	o.state = next
	for _, c := range b.Changes {
		o.applyCommitted(now, c)
	}
	o.updateNoEpochWorkers()
}

// Conflicted records that another writer appended to the log first, which means that the shard was taken over.
func (o *Owner) Conflicted() { o.deposed = true }

// MayRebind reports whether a bound task that waits to start may be bound to another worker now. A rebound task
// can't start before the binding is committed, so while commits fail tasks stay on the worker they are bound to.
func (o *Owner) MayRebind(now time.Time) bool {
	return o.holdsLease(now) && now.Sub(o.failedCommitSentAt) >= o.timing.RenewDeadline
}

// NotCommitted records that the batch in flight is certainly not in the log. Its changes are proposed again
// except for rebindings, which are dropped so that their tasks may start on the workers they are bound to.
func (o *Owner) NotCommitted() {
	o.inFlightCommit, o.failedCommitSentAt = nil, o.lastCommitSentAt
	if o.uncommittedBatch == nil || o.outcomeUnknown {
		return // the batch may be in the log from an earlier append whose outcome was unknown
	}
	changes := o.dropRebindings(o.uncommittedBatch.Changes)
	o.proposals = o.dropRebindings(o.proposals)
	o.uncommittedBatch = nil
	if len(changes) > 0 {
		b := NewBatch(o.lastCommitSentAt, changes...)
		o.uncommittedBatch = &b
	}
}

// OutcomeUnknown records that the batch in flight may or may not be in the log. It is proposed again unchanged.
func (o *Owner) OutcomeUnknown() {
	o.failedCommitSentAt, o.inFlightCommit, o.outcomeUnknown = o.lastCommitSentAt, nil, true
}

// applyCommitted updates the runs after a change was committed.
func (o *Owner) applyCommitted(now time.Time, c Change) {
	switch c.Kind {
	case ChangeTakeOver:
		o.takeoverAt = now
	case ChangeAccept:
		delete(o.proposedJobs, c.Job.ID)
		for _, id := range c.Job.TaskIDs() {
			o.addRun(o.state.tasks[id])
		}
	case ChangeBind:
		if r := o.runs[c.Task]; r != nil {
			if r.mayHaveAttempt() {
				o.reportViolation("bind_without_proof",
					fmt.Sprintf("task %s rebound from %q to %s without proof that its last attempt ended", c.Task, r.worker, c.Worker))
			}
			r.worker, r.proposedWorker, r.attempt, r.settledAttempt = c.Worker, "", c.Attempt, c.Attempt
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

// nextCommit returns the next batch to append, or nil if one is in flight or none is due.
func (o *Owner) nextCommit(now time.Time) *Commit {
	if o.inFlightCommit != nil || now.Sub(o.lastCommitSentAt) < o.timing.CommitInterval {
		return nil
	}
	if o.uncommittedBatch == nil {
		if len(o.proposals) == 0 || !o.handingOver && o.hasOnlyCheckpoints() && now.Sub(o.lastCommitSentAt) < o.timing.CheckpointInterval {
			return nil
		}
		b := o.nextBatch(now)
		o.uncommittedBatch = &b
	}
	o.lastCommitSentAt = now
	o.inFlightCommit = &Commit{Batch: *o.uncommittedBatch, MayBeInLog: o.outcomeUnknown}
	return o.inFlightCommit
}

// nextBatch takes the first proposals, with the last checkpoint that was reported of each task. A store outage thus leaves one
// checkpoint of each task and not one of each report, which bindings would have to wait for.
func (o *Owner) nextBatch(now time.Time) Batch {
	n := min(len(o.proposals), maxBatchChanges)
	b := NewBatch(now, append([]Change(nil), o.proposals[:n]...)...)
	o.proposals = append([]Change(nil), o.proposals[n:]...)
	for i, c := range b.Changes {
		if r := o.runs[c.Task]; c.Kind == ChangeCheckpoint && r != nil {
			b.Changes[i].Checkpoint, r.checkpointProposed = r.checkpoint, false
		}
	}
	return b
}

func (o *Owner) hasOnlyCheckpoints() bool {
	for _, c := range o.proposals {
		if c.Kind != ChangeCheckpoint {
			return false
		}
	}
	return true
}

// propose queues a change for the next batch. During a handover it ignores new changes, since running tasks keep
// writing checkpoints and the handover would never complete. Nothing is lost: workers repeat reports that are not
// acknowledged, so the next owner receives them.
func (o *Owner) propose(c Change) {
	if !o.handingOver {
		o.proposals = append(o.proposals, c)
	}
}

// dropRebindings returns changes without the bindings of tasks that are already bound to another worker, and
// marks these as no longer proposed.
func (o *Owner) dropRebindings(changes []Change) []Change {
	var out []Change
	for _, c := range changes {
		r := o.runs[c.Task]
		if c.Kind != ChangeBind || r == nil || r.worker == "" {
			out = append(out, c)
			continue
		}
		r.proposedWorker = ""
	}
	return out
}
