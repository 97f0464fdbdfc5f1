package entry

import (
	"context"
	"expvar"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// stepGap is the least time between two rounds of decisions, so that answers that come together share one.
const stepGap = 4 * time.Millisecond

// summaryGap is the least time between two summaries in the log.
const summaryGap = time.Second

// runner carries out what the owner of a shard decides.
type runner struct {
	ctx    context.Context
	cancel context.CancelFunc
	// deposed says that a worker or the store knows a later owner.
	deposed bool
	// ended holds the jobs whose end was recorded by this owner and whose state is still kept, the oldest first.
	ended  []endedJob
	epoch  int64
	host   *Host
	lease  int64
	loaded bool
	log    *logrus.Entry
	mu     sync.Mutex
	owner  *shard.Owner
	// progress holds the revisions of the jobs' progress records.
	progress map[string]int64
	// cancelled holds the jobs with a recorded cancellation.
	cancelled map[string]bool
	registry  map[string]shard.Worker
	revision  int64
	shard     int
	slots     map[string]chan struct{}
	// summarized is when the last summary was logged.
	summarized time.Time
	wake       chan struct{}
}

func newRunner(h *Host, n int, revision, lease int64) *runner {
	log := h.log.WithField("shard", n)
	ctx, cancel := context.WithCancel(context.Background())
	return &runner{
		ctx: ctx, cancel: cancel, cancelled: map[string]bool{}, epoch: revision, host: h, lease: lease, log: log,
		owner:    shard.NewOwner(revision, h.now(), shard.WithLog(log), shard.WithTiming(h.timing())),
		progress: map[string]int64{}, registry: map[string]shard.Worker{}, revision: revision, shard: n,
		slots: map[string]chan struct{}{}, wake: make(chan struct{}, 1),
	}
}

func (r *runner) start() {
	r.owner.SetConfig(r.host.config.config())
	go r.loop()
	go r.forgetEnded()
	go r.shareWeights()
	go follow(r.ctx, r.host.platform.Store, r.log, r.host.platform.WorkerPrefix, r.registrySnapshot, r.registryEvents)
	go func() {
		recorded := r.readProgress()
		if r.ctx.Err() != nil {
			return
		}
		follow(r.ctx, r.host.platform.Store, r.log, jobsOf(r.shard), func(kvs []kvstore.KV) {
			r.jobsSnapshot(kvs, recorded)
			recorded = nil
		}, r.jobEvents)
	}()
}

func (r *runner) close() { r.cancel() }

// mayAct reports whether this host certainly still owns the shard.
func (r *runner) mayAct(now time.Time) bool {
	lease, expires := r.host.session.lasting()
	return !r.deposed && r.loaded && lease == r.lease && now.Before(expires)
}

func (r *runner) revisionNow() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

func (r *runner) epochNow() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch
}

func (r *runner) mayReacquire(lease int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.deposed && lease != 0
}

func (r *runner) reacquired(revision, lease int64) {
	r.mu.Lock()
	r.revision, r.epoch, r.lease = revision, revision, lease
	r.owner.SetToken(revision)
	r.mu.Unlock()
	r.poke()
}

func (r *runner) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// do runs f with the owner locked and lets the loop decide anew.
func (r *runner) do(f func(now time.Time)) {
	r.mu.Lock()
	f(r.host.now())
	r.mu.Unlock()
	r.poke()
}

func (r *runner) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		r.mu.Lock()
		now := r.host.now()
		pause := electionPause
		if r.mayAct(now) {
			r.summarize(now)
			a := r.owner.Step(now)
			pause = max(a.Wake.Sub(now), stepGap)
			r.send(a)
		}
		r.mu.Unlock()
		retry.Sleep(r.ctx, stepGap)
		timer.Reset(pause)
	}
}

// summarize logs once in a while what the shard holds.
func (r *runner) summarize(now time.Time) {
	if now.Sub(r.summarized) < summaryGap {
		return
	}
	r.summarized = now
	s := r.owner.Summary()
	for name, n := range map[string]int{"fills": s.Fills, "jobs": s.Jobs, "over": s.Over, "runs": s.Runs, "waiting": s.Waiting} {
		v := new(expvar.Int)
		v.Set(int64(n))
		runsOnBooks.Set(strconv.Itoa(r.shard)+"_"+name, v)
	}
	r.log.WithFields(logrus.Fields{
		"decision": "summary", "fill_pace": s.FillPace, "fills": s.Fills, "jobs": s.Jobs, "over": s.Over, "runs": s.Runs,
		"serving": s.Serving, "stopping": s.Stopped, "waiting": s.Waiting, "waiting_fills": s.WaitingFills,
		"workers": s.Workers,
	}).Info("shard's state")
}

func (r *runner) setConfig(c workflow.Config) {
	r.do(func(time.Time) { r.owner.SetConfig(c) })
}

func (r *runner) add(j workflow.Job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return false
	}
	r.owner.Add(r.host.now(), j)
	r.poke()
	return true
}

func (r *runner) cancelJob(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return false
	}
	r.cancelled[id] = true
	r.owner.Cancel(r.host.now(), id)
	r.poke()
	return true
}

func (r *runner) state(id string) (s workflow.State, owner, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded || r.deposed {
		return "", false, false
	}
	s, ok = r.owner.State(id)
	return s, true, ok
}

func (r *runner) pending(queue string) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded || r.deposed {
		return 0, false
	}
	return r.owner.Pending(queue), true
}

func (r *runner) load(service string) (shard.Load, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded || r.deposed {
		return shard.Load{}, false
	}
	return r.owner.Load(service), true
}

// settle waits until all changes are on record.
func (r *runner) settle(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		settled := r.owner.Settled()
		r.mu.Unlock()
		if settled {
			return
		}
		retry.Sleep(ctx, stepGap)
	}
}

// readProgress reads the progress records until that succeeds or the runner ends.
func (r *runner) readProgress() map[string]workflow.Progress {
	for r.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(r.ctx, 4*storeCall)
		kvs, _, err := r.host.platform.Store.Range(ctx, progressOf(r.shard))
		cancel()
		if err != nil {
			r.log.WithError(err).Warn("progress can't be read")
			retry.Sleep(r.ctx, followPause)
			continue
		}
		out := make(map[string]workflow.Progress, len(kvs))
		r.mu.Lock()
		for _, kv := range kvs {
			id := strings.TrimPrefix(kv.Key, progressOf(r.shard))
			r.progress[id] = kv.ModRevision
			p, err := workflow.Decode[workflow.Progress](kv.Value)
			if err != nil {
				r.log.WithError(err).WithField("job", id).Error("progress can't be read")
				continue
			}
			out[id] = p
		}
		r.mu.Unlock()
		return out
	}
	return nil
}

// jobsSnapshot loads the shard's jobs, and after a gap in the history those that were missed.
func (r *runner) jobsSnapshot(kvs []kvstore.KV, recorded map[string]workflow.Progress) {
	r.do(func(now time.Time) {
		for _, kv := range kvs {
			if id, ok := cancelledID(kv.Key, r.shard); ok {
				r.cancelled[id] = true
			}
		}
		jobs := 0
		for _, kv := range kvs {
			if _, ok := cancelledID(kv.Key, r.shard); ok {
				continue
			}
			j, ok := r.decodeJob(kv)
			if !ok {
				continue
			}
			jobs++
			if r.loaded {
				r.owner.Add(now, j)
			} else {
				r.owner.Restore(now, j, recorded[j.ID], r.cancelled[j.ID])
			}
		}
		for id := range r.cancelled {
			r.owner.Cancel(now, id)
		}
		r.loaded = true
		r.log.WithFields(logrus.Fields{"decision": "load", "jobs": jobs, "records": len(recorded), "revision": r.revision}).
			Info("shard is loaded")
	})
}

func (r *runner) jobEvents(events []kvstore.Event) {
	r.do(func(now time.Time) {
		for _, ev := range events {
			if ev.Deleted {
				continue
			}
			if id, ok := cancelledID(ev.KV.Key, r.shard); ok {
				r.cancelled[id] = true
				r.owner.Cancel(now, id)
				continue
			}
			if j, ok := r.decodeJob(ev.KV); ok {
				r.owner.Add(now, j)
			}
		}
	})
}

func (r *runner) decodeJob(kv kvstore.KV) (workflow.Job, bool) {
	j, err := workflow.Decode[workflow.Job](kv.Value)
	if err != nil || j.Check() != nil {
		r.log.WithField("key", kv.Key).Error("job's record can't be read")
		return j, false
	}
	return j, true
}

func cancelledID(key string, shard int) (string, bool) {
	return strings.CutSuffix(strings.TrimPrefix(key, jobsOf(shard)), cancelSuffix)
}

func (r *runner) registrySnapshot(kvs []kvstore.KV) {
	r.mu.Lock()
	r.registry = map[string]shard.Worker{}
	for _, kv := range kvs {
		r.register(kv)
	}
	r.mu.Unlock()
	r.registryChanged()
}

func (r *runner) registryEvents(events []kvstore.Event) {
	r.mu.Lock()
	for _, ev := range events {
		if ev.Deleted {
			delete(r.registry, ev.KV.Key)
		} else {
			r.register(ev.KV)
		}
	}
	r.mu.Unlock()
	r.registryChanged()
}

// register takes an entry of the registry; one that can't be read names no worker.
func (r *runner) register(kv kvstore.KV) {
	w, err := r.host.platform.DecodeWorker(kv)
	if err != nil {
		r.log.WithError(err).WithFields(logrus.Fields{"decision": "worker_entry_skipped", "key": kv.Key, "revision": kv.ModRevision}).
			Warn("registry entry names no worker")
		delete(r.registry, kv.Key)
		return
	}
	r.registry[kv.Key] = w
}

func (r *runner) registryChanged() {
	l, _, _ := r.host.directory.layoutNow()
	var unplaced []shard.Worker
	r.do(func(now time.Time) {
		var mine []shard.Worker
		for _, w := range r.registry {
			n, ok := l.shardOf(w)
			switch {
			case !ok:
				unplaced = append(unplaced, w)
			case n == r.shard:
				mine = append(mine, w)
			}
		}
		r.owner.SetWorkers(now, mine)
	})
	if len(unplaced) > 0 && r.shard == 0 {
		r.host.addRacks(r.ctx, unplaced)
	}
}
