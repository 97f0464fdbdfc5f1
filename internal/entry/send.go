package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// ordersPerWorker bounds the calls to one worker at a time, and so the connections to it.
	ordersPerWorker = 2
	// orderTimeout and lookSlack bound calls to workers beyond the time that these may wait.
	orderTimeout = 1200 * time.Millisecond
	lookSlack    = 900 * time.Millisecond
	// adviceTimeout covers a call on 30 workers that waits behind others of this host.
	adviceTimeout = 3 * time.Second
	// txnEntries is the most entries that the store takes in a transaction.
	txnEntries = 32
)

var errNoAdvice = errors.New("no placement advice service is set")

// send carries actions out; the owner is locked by the caller and told of the results later.
func (r *runner) send(a shard.Actions) {
	for _, l := range a.Looks {
		go r.look(l)
	}
	for _, s := range a.Stops {
		go r.order(s.Order, func(ctx context.Context) shard.Reply { return r.host.platform.Stop(ctx, s) },
			func(now time.Time, reply shard.Reply) { r.owner.Stopped(now, s, reply) })
	}
	for _, s := range a.Starts {
		go r.order(s.Order, func(ctx context.Context) shard.Reply { return r.host.platform.Start(ctx, s) },
			func(now time.Time, reply shard.Reply) { r.owner.Started(now, s, reply) })
	}
	for _, p := range a.Paces {
		go r.order(p.Order, func(ctx context.Context) shard.Reply { return r.host.platform.Pace(ctx, p) },
			func(now time.Time, reply shard.Reply) { r.owner.Paced(now, p, reply) })
	}
	for _, advise := range a.Advises {
		go r.advise(advise)
	}
	if a.Commit != nil {
		go r.commit(a.Commit)
	}
}

// slot returns the semaphore of a worker's orders.
func (r *runner) slot(worker string) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slots[worker]
	if s == nil {
		s = make(chan struct{}, ordersPerWorker)
		r.slots[worker] = s
	}
	return s
}

func (r *runner) order(o shard.Order, call func(context.Context) shard.Reply, result func(time.Time, shard.Reply)) {
	slot := r.slot(o.Worker)
	reply := shard.Reply{Outcome: shard.OutcomeNotSent}
	select {
	case <-r.ctx.Done():
		return
	case slot <- struct{}{}:
	}
	r.mu.Lock()
	allowed := r.mayAct(r.host.now())
	r.mu.Unlock()
	if allowed {
		ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
		sent := time.Now()
		reply = call(ctx)
		cancel()
		orderTime.Observe(time.Since(sent))
	}
	orderOutcomes.Add(reply.Outcome.String(), 1)
	<-slot
	r.do(func(now time.Time) { result(now, reply) })
	if reply.Outcome == shard.OutcomeFenced {
		r.fenced(o)
	}
}

func (r *runner) look(l shard.Look) {
	ctx, cancel := context.WithTimeout(r.ctx, l.Wait+lookSlack)
	defer cancel()
	sent := r.host.now()
	looksSent.Add(1)
	list, outcome := r.host.platform.Look(ctx, l)
	if took := r.host.now().Sub(sent); outcome == shard.OutcomeDone && took > l.Wait {
		lookTime.Observe(took - l.Wait)
	}
	if r.ctx.Err() != nil {
		return
	}
	r.do(func(now time.Time) {
		if outcome == shard.OutcomeDone {
			r.owner.Looked(now, l, sent, list)
		} else {
			looksFailed.Add(1)
			r.owner.LookFailed(now, l, outcome)
		}
	})
	if outcome == shard.OutcomeFenced {
		r.fenced(l.Order)
	}
}

// advise asks which workers may run a step.
func (r *runner) advise(a shard.Advise) {
	sent := r.host.now()
	answer := shard.Advised{Error: errNoAdvice}
	if r.host.platform.Advise != nil {
		ctx, cancel := context.WithTimeout(r.ctx, adviceTimeout)
		defer cancel()
		answer = r.host.platform.Advise(ctx, a)
	}
	r.do(func(now time.Time) { r.owner.Advised(now, a, sent, answer) })
}

// fenced takes the news that a worker knows a higher token than an order's.
func (r *runner) fenced(o shard.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deposed || !r.owner.IsCurrent(o) {
		return
	}
	r.deposed = true
	ownersFenced.Add(1)
	r.log.WithFields(logrus.Fields{"decision": "fenced", "worker": o.Worker, "token": o.Token}).
		Warn("a worker knows a later owner; this host stops acting for the shard")
}

// commit writes records until they are durable or this host is no longer the owner.
func (r *runner) commit(c *shard.Commit) {
	rest := c.Writes
	for len(rest) > 0 {
		n, t := r.transaction(rest)
		if !r.writeRecords(t, rest[:n]) {
			return
		}
		rest = rest[n:]
	}
	r.do(func(now time.Time) { r.owner.Committed(now, c) })
}

// transaction builds a transaction of as many writes as fit.
func (r *runner) transaction(writes []shard.JobWrite) (int, kvstore.Txn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := kvstore.Txn{Guards: []kvstore.Guard{{Key: ownerKey(r.shard), Revision: r.revision}}}
	for i, w := range writes {
		next := t
		if w.Final != "" {
			placed := workflow.Placed{EndedAt: time.Now().UnixMilli(), Shard: r.shard, State: w.Final}
			next.Puts = append(next.Puts, kvstore.Put{Key: placedKey(w.Job), Value: workflow.Encode(placed)})
			next.Deletes = append(next.Deletes, jobKey(r.shard, w.Job), progressKey(r.shard, w.Job))
			if r.cancelled[w.Job] {
				next.Deletes = append(next.Deletes, cancelKey(r.shard, w.Job))
			}
		} else {
			key := progressKey(r.shard, w.Job)
			next.Guards = append(next.Guards, kvstore.Guard{Key: key, Revision: r.progress[w.Job]})
			next.Puts = append(next.Puts, kvstore.Put{Key: key, Value: w.Progress})
		}
		if next.Size() > txnEntries {
			return i, t
		}
		t = next
	}
	return len(writes), t
}

// writeRecords writes a transaction of records, whatever becomes of its answers; false means that this host is no
// longer the owner.
func (r *runner) writeRecords(t kvstore.Txn, writes []shard.JobWrite) bool {
	pause := firstWritePause
	for r.ctx.Err() == nil {
		r.mu.Lock()
		t.Guards[0].Revision = r.revision
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(r.ctx, storeCall)
		sent := time.Now()
		res, err := r.host.platform.Store.Txn(ctx, t)
		cancel()
		countWrite(err)
		commitTime.Observe(time.Since(sent))
		switch {
		case err == nil:
			r.written(writes, res.Revision)
			return true
		case errors.Is(err, kvstore.ErrConflict):
			if r.resolve(&t, writes, res.Current) {
				return true
			}
		default:
			r.log.WithError(err).WithFields(logrus.Fields{"decision": "commit_retry", "jobs": len(writes)}).Warn("records are not written yet")
		}
		retry.Sleep(r.ctx, pause)
		pause = min(2*pause, maxWritePause)
	}
	return false
}

// resolve looks at what stands in the way of a transaction: an earlier attempt whose answer was lost, or the loss of
// the shard.
func (r *runner) resolve(t *kvstore.Txn, writes []shard.JobWrite, current []kvstore.KV) bool {
	at := map[string]kvstore.KV{}
	for _, kv := range current {
		at[kv.Key] = kv
	}
	for _, p := range t.Puts {
		if kv, ok := at[p.Key]; ok && string(kv.Value) == string(p.Value) && kv.ModRevision != 0 {
			r.written(writes, kv.ModRevision)
			return true
		}
	}
	if kv, ok := at[ownerKey(r.shard)]; ok && kv.ModRevision != t.Guards[0].Revision {
		r.log.WithFields(logrus.Fields{"decision": "not_owner", "revision": kv.ModRevision, "expected": t.Guards[0].Revision}).
			Warn("records were not written: this host's ownership has ended")
		r.host.owners.wakeElection()
		return false
	}
	for i, g := range t.Guards[1:] {
		if kv, ok := at[g.Key]; ok {
			r.log.WithFields(logrus.Fields{"key": g.Key, "revision": kv.ModRevision, "expected": g.Revision}).
				Error("a record has another revision than this owner wrote")
			t.Guards[i+1].Revision = kv.ModRevision
		}
	}
	return false
}

func (r *runner) written(writes []shard.JobWrite, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range writes {
		if w.Final != "" {
			delete(r.progress, w.Job)
			delete(r.cancelled, w.Job)
			r.ended = append(r.ended, endedJob{at: time.Now(), id: w.Job})
			r.host.known.put(w.Job, workflow.Placed{Shard: r.shard, State: w.Final})
		} else {
			r.progress[w.Job] = revision
		}
	}
}
