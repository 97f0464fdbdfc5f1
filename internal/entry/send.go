package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// maxCallsPerWorker bounds the concurrent start, stop and pace calls to one worker, and thereby the connections to it.
	maxCallsPerWorker = 2
	// workerCallTimeout bounds a start, stop or pace call. pollTimeoutMargin is added to the time for which a worker may
	// delay the answer to a poll.
	workerCallTimeout = 1200 * time.Millisecond
	pollTimeoutMargin = 900 * time.Millisecond
	// adviceTimeout covers a call about 30 workers that is queued behind other calls of this host.
	adviceTimeout = 3 * time.Second
	// maxTxnEntries is the store's limit on the entries of a transaction.
	maxTxnEntries = 32
	// rejectedAttempts is the number of failed attempts, one of them by a peer, from which a rejected transaction counts as refused for good.
	rejectedAttempts = ownAttempts + 1
	// maxTxnBytes limits the values of a transaction that writes the records of several jobs, so that a large record delays no others.
	maxTxnBytes = kvstore.MaxValueBytes / 2
)

var errNoAdviceService = errors.New("no placement advice service is set")

// dispatch starts the actions in the background and later passes their results to the owner. The caller holds r.mu.
func (r *runner) dispatch(a shard.Actions) {
	for _, l := range a.Polls {
		r.run(func() { r.poll(l) })
	}
	for _, s := range a.Stops {
		r.run(func() {
			call := func(ctx context.Context, o shard.Order) shard.Reply { return r.host.platform.Stop(ctx, s.WithOrder(o)) }
			r.callWorker(s.Order, always, call,
				func(now time.Time, reply shard.Reply) { r.owner.Stopped(now, s, reply) })
		})
	}
	for _, s := range a.Starts {
		r.run(func() {
			r.callWorker(s.Order, func() bool { return r.owner.Wants(s) },
				func(ctx context.Context, o shard.Order) shard.Reply {
					return r.host.platform.Start(ctx, s.WithOrder(o))
				},
				func(now time.Time, reply shard.Reply) { r.owner.Started(now, s, reply) })
		})
	}
	for _, p := range a.Paces {
		r.run(func() {
			call := func(ctx context.Context, o shard.Order) shard.Reply { return r.host.platform.Pace(ctx, p.WithOrder(o)) }
			r.callWorker(p.Order, always, call,
				func(now time.Time, reply shard.Reply) { r.owner.Paced(now, p, reply) })
		})
	}
	for _, advise := range a.AdviceRequests {
		r.run(func() { r.advise(advise) })
	}
	if a.Commit != nil {
		r.run(func() { r.commit(a.Commit) })
	}
}

// callSemaphore returns the semaphore that limits concurrent calls to a worker.
func (r *runner) callSemaphore(worker string) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.callSemaphores[worker]
	if s == nil {
		s = make(chan struct{}, maxCallsPerWorker)
		r.callSemaphores[worker] = s
	}
	return s
}

// always is for orders that are carried out whatever has happened since they were decided.
func always() bool { return true }

// callWorker calls a worker and passes the reply to result. It waits while maxCallsPerWorker calls to the worker are in flight, which may
// take seconds if they get no answer, and gives the order the present token of the worker. The call is not made if this host may no longer
// own the shard, the worker has been fenced since the order was made or isWanted, which is called with the owner locked, returns false by then.
func (r *runner) callWorker(
	o shard.Order, isWanted func() bool, call func(context.Context, shard.Order) shard.Reply, result func(time.Time, shard.Reply),
) {
	semaphore := r.callSemaphore(o.Worker)
	reply := shard.Reply{Outcome: shard.OutcomeNotSent}
	select {
	case <-r.ctx.Done():
		return
	case semaphore <- struct{}{}:
	}
	r.mu.Lock()
	o, isCurrent := r.owner.Renew(o)
	allowed := isCurrent && r.mayAct(r.host.now()) && isWanted()
	r.mu.Unlock()
	if allowed {
		ctx, cancel := withTimeout(r.ctx, workerCallTimeout)
		sent := time.Now()
		reply = call(ctx, o)
		cancel()
		workerCallTime.Observe(time.Since(sent))
	}
	workerCallOutcomes.Add(reply.Outcome.String(), 1)
	<-semaphore
	r.updateOwner(func(now time.Time) { result(now, reply) })
	if reply.Outcome == shard.OutcomeFenced {
		r.handleFenced(o)
	}
}

// poll asks a worker for its runs and passes the listing or the failure to the owner. The worker may delay the answer for up
// to l.Wait (long poll). If the owner has an acknowledgement that the poll could not carry, another poll follows at once.
func (r *runner) poll(l shard.Poll) {
	ctx, cancel := withTimeout(r.ctx, l.Wait+pollTimeoutMargin)
	defer cancel()
	sent := r.host.now()
	pollsSent.Add(1)
	list, outcome := r.host.platform.Poll(ctx, l)
	if took := r.host.now().Sub(sent); outcome == shard.OutcomeDone && took > l.Wait {
		pollTimeBeyondWait.Observe(took - l.Wait)
	}
	if r.ctx.Err() != nil {
		return
	}
	var next shard.Poll
	hasNext := false
	r.updateOwner(func(now time.Time) {
		if outcome == shard.OutcomeDone {
			r.owner.Polled(now, l, sent, list)
			if r.mayAct(now) {
				r.owner.NoteRenewal(r.host.session.renewedAt())
				next, hasNext = r.owner.Acknowledgement(now, l, sent)
			}
		} else {
			pollsFailed.Add(1)
			r.owner.PollFailed(now, l, outcome)
		}
	})
	if outcome == shard.OutcomeFenced {
		r.handleFenced(l.Order)
	}
	if hasNext {
		r.poll(next)
	}
}

// advise asks the placement advice service which workers may run a step.
func (r *runner) advise(a shard.AdviceRequest) {
	sent := r.host.now()
	answer := shard.AdviceResponse{Error: errNoAdviceService}
	if r.host.platform.Advise != nil {
		ctx, cancel := context.WithTimeout(r.ctx, adviceTimeout)
		defer cancel()
		answer = r.host.platform.Advise(ctx, a)
	}
	r.updateOwner(func(now time.Time) { r.owner.Advised(now, a, sent, answer) })
}

// handleFenced stops the runner from acting for the shard after a worker rejected a call because it knows a higher token, until the
// claim of the shard is renewed. Rejections of calls with a token that this host has replaced since are ignored.
func (r *runner) handleFenced(o shard.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.owner.IsCurrent(o) {
		return
	}
	r.owner.NoteRefusal(r.host.now(), o)
	if r.deposed {
		return
	}
	r.deposed = true
	defer r.host.ownedShards.wakeElection()
	ownersFenced.Add(1)
	r.log.WithFields(logrus.Fields{"decision": "fenced", "worker": o.Worker, "token": o.Token}).
		Warn("worker rejected the current token because it knows a higher one; this host stops acting until its claim is renewed")
}

// requestToken stops the runner from acting until its claim is renewed if the owner has used its token up, and reports whether it has.
// The caller holds r.mu.
func (r *runner) requestToken() bool {
	if !r.owner.NeedsToken() {
		return false
	}
	r.deposed = true
	r.host.ownedShards.wakeElection()
	r.log.WithField("decision", "token_used_up").Warn("the token was raised for a worker as often as it can be; renewing the claim of the shard")
	return true
}

// commit writes records, retrying until all of them are durable, or can't be written, or the runner stops. A job is in one transaction
// only, so the transactions are written at the same time.
func (r *runner) commit(c *shard.Commit) {
	var transactions sync.WaitGroup
	var stopped atomic.Bool
	var failed failedWrites
	mark := r.dueAnsweredMark(answeredCommitInterval)
	for rest := c.Writes; len(rest) > 0; {
		n, t := r.buildTxn(rest)
		writes := rest[:n]
		if t.Size()+len(mark) <= maxTxnEntries {
			t.Puts, mark = append(t.Puts, mark...), nil
		}
		transactions.Go(func() {
			if !r.writeOrSplit(t, writes, &failed) {
				stopped.Store(true)
			}
		})
		rest = rest[n:]
	}
	transactions.Wait()
	if !stopped.Load() {
		r.updateOwner(func(now time.Time) { r.owner.Committed(now, c, failed.list...) })
	}
}

// buildTxn returns a transaction of the first writes, as many as fit, and their number.
func (r *runner) buildTxn(writes []shard.JobWrite) (int, kvstore.Txn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := kvstore.Txn{Guards: []kvstore.Guard{{Key: ownerKey(r.shard), Revision: r.ownerKeyRevision}}}
	for i, w := range writes {
		next := t
		if w.Final != "" {
			if w.Shared == nil || !w.Shared.IsGuest {
				location := workflow.JobLocation{EndedAt: time.Now().UnixMilli(), Shard: r.shard, State: w.Final}
				next.Puts = append(next.Puts, kvstore.Put{Key: locationKey(w.Job), Value: workflow.Encode(location)})
			}
			next.Deletes = append(next.Deletes, jobKey(r.shard, w.Job))
			if w.Progress == nil {
				next.Deletes = append(next.Deletes, progressKey(r.shard, w.Job))
			} else {
				next.Puts = append(next.Puts, kvstore.Put{Key: progressKey(r.shard, w.Job), Value: w.Progress})
			}
			if r.cancellations[w.Job] {
				next.Deletes = append(next.Deletes, cancelKey(r.shard, w.Job))
			}
		} else {
			next.Guards = append(next.Guards, r.revisions.Guards(w.Job)...)
			next.Puts = append(next.Puts, kvstore.Put{Key: progressKey(r.shard, w.Job), Value: w.Progress})
			if w.Record != nil {
				next.Puts = append(next.Puts, kvstore.Put{Key: jobKey(r.shard, w.Job), Value: w.Record})
			}
		}
		if w.Shared != nil {
			next = r.withSharedRecords(next, w)
		}
		if i > 0 && (next.Size() > maxTxnEntries || putBytes(next) > maxTxnBytes) {
			return i, t
		}
		t = next
	}
	return len(writes), t
}

// writeRecords retries a transaction of records until it is known to have taken effect, which it returns as true, until the store refuses
// it for good, or until the runner stops. Errors match kvstore.ErrTooLarge, kvstore.ErrRejected or jobrecord.ErrJobGone.
func (r *runner) writeRecords(t kvstore.Txn, writes []shard.JobWrite) (bool, error) {
	pause, failures := minWriteBackoff, 0
	for r.ctx.Err() == nil {
		r.mu.Lock()
		t.Guards[0].Revision = r.ownerKeyRevision
		r.mu.Unlock()
		sent := time.Now()
		res, err := r.attemptWrite(t, failures)
		commitTime.Observe(time.Since(sent))
		switch {
		case err == nil:
			r.applyWritten(writes, res.Revision)
			return true, nil
		case errors.Is(err, kvstore.ErrConflict):
			if written, err := r.resolveConflict(&t, writes, res.Current); written || err != nil {
				return written, err
			}
		case errors.Is(err, kvstore.ErrTooLarge), errors.Is(err, kvstore.ErrRejected) && failures >= rejectedAttempts:
			return false, err
		default:
			failures++
			r.log.WithError(err).WithFields(logrus.Fields{"decision": "commit_retry", "jobs": len(writes)}).
				Warn("failed to write job records; retrying")
		}
		retry.Sleep(r.ctx, pause)
		pause = min(2*pause, maxWriteBackoff)
	}
	return false, nil
}

// resolveConflict handles a transaction whose guards did not hold. It wakes the election if this host has lost the shard; its
// successor may have changed the records since, so nothing is concluded from them. Otherwise it returns true if an earlier attempt,
// whose response was lost, has written the records, or else adopts the present revisions of the records for the next attempt. Errors match
// jobrecord.ErrJobGone.
func (r *runner) resolveConflict(t *kvstore.Txn, writes []shard.JobWrite, current []kvstore.KV) (bool, error) {
	currentByKey := map[string]kvstore.KV{}
	for _, kv := range current {
		currentByKey[kv.Key] = kv
	}
	if kv, ok := currentByKey[ownerKey(r.shard)]; ok && kv.ModRevision != t.Guards[0].Revision {
		r.log.WithFields(logrus.Fields{"decision": "not_owner", "revision": kv.ModRevision, "expected": t.Guards[0].Revision}).
			Warn("job records not written: this host has lost ownership of the shard")
		r.host.ownedShards.wakeElection()
		return false, nil
	}
	if revision, ok := writtenRevision(*t, currentByKey); ok {
		r.applyWritten(writes, revision)
		return true, nil
	}
	return false, r.adoptRevisions(t, writes, currentByKey)
}

// adoptRevisions guards the next attempt of a transaction by the present revisions of the records.
func (r *runner) adoptRevisions(t *kvstore.Txn, writes []shard.JobWrite, current map[string]kvstore.KV) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range t.Guards[1:] {
		if kv, ok := current[g.Key]; ok && kv.ModRevision != g.Revision {
			r.log.WithFields(logrus.Fields{
				"decision": "adopt_revision", "key": g.Key, "revision": kv.ModRevision, "expected": g.Revision,
			}).Warn("record is not at the expected revision; retrying with the present one")
		}
	}
	t.Guards = t.Guards[:1:1]
	for _, w := range writes {
		if w.Final != "" {
			continue
		}
		if err := r.revisions.Adopt(w.Job, current); err != nil {
			return eris.Wrapf(err, "job %s", w.Job)
		}
		t.Guards = append(t.Guards, r.revisions.Guards(w.Job)...)
	}
	return nil
}

// writtenRevision returns the revision at which a transaction has taken effect, and whether it has. All of its guarded puts must be
// in the store, and at one revision: other transactions may have written some of the same records. The unguarded puts were then
// written with them.
func writtenRevision(t kvstore.Txn, current map[string]kvstore.KV) (int64, bool) {
	guarded := map[string]bool{}
	for _, g := range t.Guards {
		guarded[g.Key] = true
	}
	revision := int64(0)
	for _, p := range t.Puts {
		if !guarded[p.Key] {
			continue
		}
		kv := current[p.Key]
		if string(kv.Value) != string(p.Value) || revision != 0 && kv.ModRevision != revision {
			return 0, false
		}
		revision = kv.ModRevision
	}
	return revision, revision != 0
}

// applyWritten updates the runner's state after the writes took effect at a store revision.
func (r *runner) applyWritten(writes []shard.JobWrite, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owner.AdvanceToken(revision)
	r.writtenThrough = max(r.writtenThrough, revision)
	for _, w := range writes {
		if w.Final != "" {
			r.revisions.Forget(w.Job)
			delete(r.cancellations, w.Job)
			if w.Progress != nil {
				r.keptRecords = append(r.keptRecords, endedJob{endedAt: time.Now(), id: w.Job})
			}
			if w.Shared != nil && w.Shared.IsGuest {
				continue // the home records the state of the job
			}
			r.endedJobs = append(r.endedJobs, endedJob{endedAt: time.Now(), id: w.Job, revision: revision})
			r.host.locations.put(w.Job, jobRecord{workflow.JobLocation{Shard: r.shard, State: w.Final}, revision})
		} else {
			r.revisions.NoteProgress(w.Job, revision)
		}
	}
}
