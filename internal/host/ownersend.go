package host

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/invariant"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

const commitTimeout = 10 * time.Second

// carryOut performs the ledger's actions in the background and posts their results to the owner's loop.
func (o *shardOwner) carryOut(ctx context.Context, a ledger.Actions) {
	for _, c := range a.Contacts {
		go o.contact(ctx, c)
	}
	for _, s := range a.Starts {
		t, _ := o.ledger.State().Task(s.Task)
		o.host.invariants.Check(invariant.SingleRun, t.Worker == s.Worker,
			s.Task+" is bound to "+t.Worker+", not to "+s.Worker)
		o.host.invariants.Check(invariant.ResumeOnce, s.Attempt > t.Attempt,
			fmt.Sprintf("%s: attempt %d after %d", s.Task, s.Attempt, t.Attempt))
		o.startedAt[s.Task] = time.Now()
		go o.start(ctx, s)
	}
	for _, s := range a.Stops {
		t, _ := o.ledger.State().Task(s.Task)
		o.recordDecision(explain.Decision{
			Attempt: s.Attempt, Decision: "stop", Job: t.Job, Reason: s.Reason, Task: s.Task, Work: o.workOf(t.Job),
			Worker: s.Worker,
		})
		go o.stop(ctx, s)
	}
	if a.Commit != nil {
		go o.commit(ctx, *a.Commit)
	}
}

func (o *shardOwner) commit(ctx context.Context, c ledger.Commit) {
	appendCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err := o.append(appendCtx, c)
	// The next commit waits for this outcome.
	o.postUntil(ctx, func(now time.Time) {
		switch {
		case err == nil:
			o.ledger.Committed(now)
			o.tickNow = true
		case errors.Is(err, kvstore.ErrBehind):
			o.log.WithError(err).Warn("another host appended to the shard's ledger; this host gives the shard up")
			o.ledger.Conflicted()
		case errors.Is(err, kvstore.ErrUnknownOutcome):
			o.ledger.OutcomeUnknown()
		default:
			o.log.WithError(err).Warn("failed to append to the shard's ledger; changes other than rebindings are proposed again")
			o.ledger.NotCommitted()
		}
	})
}

// append writes one batch to the ledger log. Only one commit is in flight, so one goroutine at a time uses the log.
func (o *shardOwner) append(ctx context.Context, c ledger.Commit) error {
	data, err := c.Batch.Encode()
	if err != nil {
		return err
	}
	if !c.MayBeInLog && o.ledgerLog.SnapshotDue() {
		if err := o.saveSnapshot(ctx); err != nil {
			o.log.WithError(err).Warn("ledger snapshot was not saved; it is tried again with the next entry")
		}
	}
	// While it is unknown whether the last entry is in the log, the identical entry is appended again, so that the log
	// recognises it.
	if o.pendingEntry == nil || !c.MayBeInLog {
		e := kvstore.NewEntry(o.ledgerLog.Seq(), data)
		o.pendingEntry = &e
	}
	err = o.ledgerLog.Append(ctx, *o.pendingEntry)
	if errors.Is(err, kvstore.ErrSnapshotDue) {
		if err := o.saveSnapshot(ctx); err != nil {
			return err
		}
		err = o.ledgerLog.Append(ctx, *o.pendingEntry)
	}
	return err
}

func (o *shardOwner) contact(ctx context.Context, c ledger.Contact) {
	address, ok := o.workerAddress(c.Worker)
	if !ok {
		return
	}
	var report worker.Report
	var err error
	if c.Fence {
		report, err = o.host.workers.Fence(ctx, address, worker.FenceRequest{
			Epoch: c.Epoch, Owner: o.host.id, Shard: o.id,
		})
	} else {
		in := worker.HeartbeatRequest{Epoch: c.Epoch, Token: c.Token}
		for _, ack := range c.Acks {
			in.Acks = append(in.Acks, worker.AttemptRef{Attempt: int64(ack.Attempt), Task: ack.Task})
		}
		report, err = o.host.workers.Heartbeat(ctx, address, in)
	}
	o.post(func(now time.Time) {
		var refusal worker.Refusal
		switch {
		case err == nil:
			o.handleReport(now, c, report)
			o.tickNow = o.tickNow || c.Fence
		case errors.As(err, &refusal):
			o.ledger.ContactRefused(c, refusal.Epoch)
		default:
			o.log.WithError(err).WithField("worker", c.Worker).Debug("worker did not answer a heartbeat or fence request")
			o.ledger.ContactFailed(c)
		}
	})
}

func (o *shardOwner) start(ctx context.Context, s ledger.Start) {
	address, ok := o.workerAddress(s.Worker)
	if !ok {
		return
	}
	_, err := o.host.workers.Start(ctx, address, worker.StartRequest{
		AttemptRef: worker.AttemptRef{Attempt: int64(s.Attempt), Task: s.Task},
		Checkpoint: s.Checkpoint,
		Epoch:      s.Epoch,
		Kind:       s.Job.Kind,
		Resources:  s.Job.Resources,
		RunTime:    note.Duration{Duration: s.Job.RunTime.Duration},
		Token:      s.Token,
		Work:       s.Job.Work,
	})
	o.post(func(now time.Time) {
		d := explain.Decision{
			Attempt: s.Attempt, Decision: "start", Job: s.Job.ID, Reason: "bound here and there is room",
			Task: s.Task, Work: s.Job.Work, Worker: s.Worker,
		}
		var refusal worker.Refusal
		switch {
		case err == nil:
			o.ledger.Started(now, s)
			o.throttleStarted(s)
		case errors.As(err, &refusal):
			o.ledger.StartRefused(now, s, int(refusal.Attempt), string(refusal.Reason))
			d.Decision, d.Reason = "start_refused", string(refusal.Reason)
		default:
			d.Decision, d.Reason = "start_unanswered", "no answer; the next report tells whether it runs"
		}
		o.recordDecision(d)
	})
}

func (o *shardOwner) stop(ctx context.Context, s ledger.Stop) {
	address, ok := o.workerAddress(s.Worker)
	if !ok {
		return
	}
	task, err := o.host.workers.Stop(ctx, address, worker.StopRequest{
		AttemptRef: worker.AttemptRef{Attempt: int64(s.Attempt), Task: s.Task}, Checkpoint: true, Epoch: s.Epoch,
	})
	if err != nil {
		o.log.WithError(err).WithField("task", s.Task).Debug("request to stop a task failed; the shard's owner sends it again")
		return
	}
	o.post(func(now time.Time) { o.ledger.Stopped(now, s, toTaskReport(task)) })
}

func (o *shardOwner) workerAddress(id string) (string, bool) {
	h, ok := o.host.hosts.snapshot().Host(id)
	return h.Address, ok
}

// handleReport passes a worker's report to failure attribution, the ledger, the shard's key table, the slot grants and
// the latency estimates, and checks the worker's capacity. It ignores a report that is older than the last one or that the ledger
// ignores, since it may be of an earlier boot, whose attempts must not be merged with those of the present one: later reports
// list only what changed. It also ignores the report of another worker, which may have the address of one that is cut off and
// still runs its attempts.
func (o *shardOwner) handleReport(now time.Time, c ledger.Contact, r worker.Report) {
	if r.Worker != "" && r.Worker != c.Worker {
		o.log.WithFields(logrus.Fields{"worker": c.Worker, "reported_by": r.Worker}).
			Warn("another worker answered at the address of a worker; its report was ignored")
		o.ledger.ContactFailed(c)
		return
	}
	last := o.reports[c.Worker]
	if c.Seq <= last.seq {
		o.log.WithField("worker", c.Worker).Debug("ignored a worker's report that is older than the last one")
		return
	}
	for _, t := range r.Tasks {
		o.observeTask(now, c.Worker, t)
	}
	o.lastReport[c.Worker] = now
	merged := last.merge(c, r)
	if !o.ledger.Reported(now, c, merged.WorkerReport) {
		o.log.WithField("worker", c.Worker).Debug("the ledger ignored a worker's report")
		return
	}
	o.reports[c.Worker] = merged
	if table, ok := o.host.keyTables.get(o.id); ok && table.epoch == o.epoch {
		if merged.EpochCapable {
			table.EpochAccepted(now, c.Worker, c.SentAt)
		} else {
			table.EpochsUnsupported(now, c.Worker)
		}
	}
	o.grants.handleReport(now, c, r, merged.EpochCapable)
	o.observeLatency(now, c.Worker, r)
	o.checkCapacity(c.Worker)
}

// checkCapacity asserts that the running attempts of a worker fit in it.
func (o *shardOwner) checkCapacity(id string) {
	h, ok := o.host.hosts.snapshot().Host(id)
	if !ok {
		return
	}
	running := o.ledger.Reserved(id).Running
	o.host.invariants.Check(invariant.Capacity, running.FitsIn(h.Capacity), id+" runs "+running.String())
}

// saveSnapshot stores the state after all entries so far. It runs in the goroutine of a commit, when the owner's loop
// has applied all earlier commits.
func (o *shardOwner) saveSnapshot(ctx context.Context) error {
	type snapshot struct {
		data []byte
		err  error
	}
	got, err := callOwner(ctx, o, func(time.Time) snapshot {
		data, err := o.ledger.State().MarshalJSON()
		return snapshot{data: data, err: err}
	})
	if err = errors.Join(err, got.err); err != nil {
		return err
	}
	return o.ledgerLog.SaveSnapshot(ctx, kvstore.Snapshot{Data: got.data, Seq: o.ledgerLog.Seq()})
}
