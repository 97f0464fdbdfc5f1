package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// electionPause is how often a host looks for shards without an owner when nothing changes.
	electionPause = 200 * time.Millisecond
	// rankPause separates the hosts that try to own a shard, so that mostly one of them writes.
	rankPause = 120 * time.Millisecond
	// handOverTimeout bounds the wait for writes in flight when a shard is handed over.
	handOverTimeout = 800 * time.Millisecond
)

// owners holds the shards that this host owns.
type owners struct {
	host    *Host
	mu      sync.Mutex
	runners map[int]*runner
	// vacant is since when a shard has had no owner.
	vacant map[int]time.Time
	wake   chan struct{}
}

func newOwners(h *Host) *owners {
	return &owners{host: h, runners: map[int]*runner{}, vacant: map[int]time.Time{}, wake: make(chan struct{}, 1)}
}

func (o *owners) wakeElection() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *owners) runner(n int) *runner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runners[n]
}

func (o *owners) all() []*runner {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*runner
	for _, r := range o.runners {
		out = append(out, r)
	}
	return out
}

func (o *owners) configChanged(c workflow.Config) {
	for _, r := range o.all() {
		r.setConfig(c)
	}
}

// add hands a recorded job to the owner if it is this host.
func (o *owners) add(n int, j workflow.Job) bool {
	r := o.runner(n)
	return r != nil && r.add(j)
}

func (o *owners) cancel(n int, id string) bool {
	r := o.runner(n)
	return r != nil && r.cancelJob(id)
}

// state returns a job's state; owner says that this host owns the shard, ok that the job is in it.
func (o *owners) state(n int, id string) (s workflow.State, owner, ok bool) {
	r := o.runner(n)
	if r == nil {
		return "", false, false
	}
	return r.state(id)
}

func (o *owners) pending(n int, queue string) (int, bool) {
	r := o.runner(n)
	if r == nil {
		return 0, false
	}
	return r.pending(queue)
}

func (o *owners) load(n int, service string) (shard.Load, bool) {
	r := o.runner(n)
	if r == nil {
		return shard.Load{}, false
	}
	return r.load(service)
}

// elect keeps each shard owned until ctx ends.
func (o *owners) elect(ctx context.Context) {
	for ctx.Err() == nil {
		changed := o.host.directory.watch()
		pause := o.round(ctx)
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-o.wake:
		case <-t.C:
		}
		t.Stop()
	}
	for _, r := range o.all() {
		o.close(r, "the host stops")
	}
}

// round looks at every shard once and returns when to look again.
func (o *owners) round(ctx context.Context) time.Duration {
	h := o.host
	l, _, loaded := h.directory.layoutNow()
	if !loaded {
		return electionPause
	}
	if l.Shards == 0 {
		h.createLayout(ctx)
		return electionPause
	}
	pause := electionPause
	for n := range l.Shards {
		if wait := o.consider(ctx, n); wait > 0 {
			pause = min(pause, wait)
		}
	}
	return pause
}

// consider takes a shard that has no owner, and gives one up that another host owns.
func (o *owners) consider(ctx context.Context, n int) time.Duration {
	h := o.host
	present, owned := h.directory.owner(n)
	r := o.runner(n)
	if owned {
		delete(o.vacant, n)
		switch {
		case present.Run != h.self.Run && r != nil && present.revision > r.revisionNow():
			o.close(r, "another host owns the shard")
		case present.Run == h.self.Run && r == nil && !h.draining.Load():
			// The answer to the write that made this host the owner was lost.
			o.open(n, present.revision)
		}
		return 0
	}
	lease, expires := h.session.lasting()
	now := h.now()
	if h.draining.Load() || lease == 0 || !now.Before(expires) || h.config.current.Load() == nil {
		return 0
	}
	if r == nil {
		since, ok := o.vacant[n]
		if !ok {
			o.vacant[n], since = now, now
		}
		if wait := since.Add(time.Duration(h.directory.rank(h.self, n, len(o.all()))) * rankPause).Sub(now); wait > 0 {
			return wait
		}
	} else if !r.mayReacquire(lease) {
		return 0
	}
	o.acquire(ctx, n, lease, r)
	return 0
}

// acquire makes this host the owner. A former owner that nobody followed goes on with what it knows.
func (o *owners) acquire(ctx context.Context, n int, lease int64, r *runner) {
	h := o.host
	epoch := h.directory.epoch(n)
	if r != nil {
		epoch = r.epochNow()
	}
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	record := workflow.Encode(h.self)
	res, err := h.platform.Store.Txn(ctx, kvstore.Txn{
		Guards: []kvstore.Guard{{Key: ownerKey(n)}, {Key: epochKey(n), Revision: epoch}},
		Puts:   []kvstore.Put{{Key: ownerKey(n), Lease: lease, Value: record}, {Key: epochKey(n), Value: record}},
	})
	f := logrus.Fields{"decision": "own", "shard": n, "epoch": epoch, "lease": lease}
	switch {
	case err == nil && r != nil:
		h.log.WithFields(f).WithField("revision", res.Revision).Info("shard is owned again")
		ownerChanges.Add("taken_again", 1)
		r.reacquired(res.Revision, lease)
	case err == nil:
		h.log.WithFields(f).WithField("revision", res.Revision).Info("shard is owned")
		o.open(n, res.Revision)
	case errors.Is(err, kvstore.ErrConflict) && r != nil:
		for _, kv := range res.Current {
			if kv.Key == epochKey(n) && kv.ModRevision != epoch {
				o.close(r, "another host owned the shard meanwhile")
			}
		}
	case errors.Is(err, kvstore.ErrConflict):
		delete(o.vacant, n)
	default:
		h.log.WithError(err).WithFields(f).Warn("shard could not be taken")
	}
}

func (o *owners) open(n int, revision int64) {
	lease, _ := o.host.session.lasting()
	r := newRunner(o.host, n, revision, lease)
	o.mu.Lock()
	o.runners[n] = r
	o.mu.Unlock()
	ownerChanges.Add("taken", 1)
	r.start()
}

func (o *owners) close(r *runner, reason string) {
	o.host.log.WithFields(logrus.Fields{"decision": "disown", "shard": r.shard, "reason": reason, "revision": r.revisionNow()}).
		Info("shard is given up")
	o.mu.Lock()
	if o.runners[r.shard] == r {
		delete(o.runners, r.shard)
	}
	o.mu.Unlock()
	ownerChanges.Add("given_up", 1)
	r.close()
}

// handOver gives all shards up once what is decided is on record.
func (o *owners) handOver(ctx context.Context) {
	for _, r := range o.all() {
		ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
		r.settle(ctx)
		_, err := o.host.platform.Store.Txn(ctx, kvstore.Txn{
			Deletes: []string{ownerKey(r.shard)}, Guards: []kvstore.Guard{{Key: ownerKey(r.shard), Revision: r.revisionNow()}},
		})
		cancel()
		if err != nil {
			o.host.log.WithError(err).WithField("shard", r.shard).Warn("shard could not be handed over; its lease runs out by itself")
		}
		o.close(r, "the host drains")
	}
}
