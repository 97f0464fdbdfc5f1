package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/jobrecord"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// minStepInterval is the minimum time between two scheduling rounds, so that replies that arrive together are handled in
// one round.
const minStepInterval = 4 * time.Millisecond

// summaryInterval is the minimum time between two summaries in the log.
const summaryInterval = time.Second

// runner executes the decisions of a shard's owner: it follows the records of the shard, calls workers and writes progress to
// the store.
type runner struct {
	// appliedJobs is the store revision up to which the job records of the shard have been read or followed.
	appliedJobs int64
	// appliedLayout is the revision of the layout by which the owner's workers were chosen; 0 until the registry is read.
	appliedLayout int64
	ctx           context.Context
	cancel        context.CancelFunc
	// deposed is set while a worker has rejected the current token because it knows a higher one. The claim is renewed then.
	deposed bool
	// earlier bounds the leases of earlier owners, from the claim of the present epoch.
	earlier earlierLeases
	// earlierEnd is when these leases have ended; zero if there were none.
	earlierEnd time.Time
	// endedJobs lists the jobs whose final state this owner has recorded and not yet deleted, the oldest first.
	endedJobs []endedJob
	// lateCancellations lists the jobs whose cancellation was seen while the owner did not have them, the oldest first.
	lateCancellations []endedJob
	// keptRecords lists the ended jobs of which the progress records keep late starts, the oldest first.
	keptRecords []endedJob
	// expected holds the jobs for which hosts have chosen this shard.
	expected expectedJobs
	// epochKeyRevision is the revision of the shard's epoch key as this host wrote it. The next acquisition is guarded by it.
	epochKeyRevision int64
	// inherited is what the last owner of the shard handed over, or nil. It is read once, until isHandoverRead is set.
	inherited      *shard.Handover
	isHandoverRead bool
	// gauges holds the names of the gauges that this runner has published.
	gauges map[string]bool
	// hasUnassigned is set while the layout assigns no shard to the rack of a worker.
	hasUnassigned bool
	host          *Host
	// lease is the lease of the shard's owner key.
	lease int64
	// changedAt is when the shard was taken, its jobs were read or it was taken again, whichever came last.
	changedAt time.Time
	// failedReadAt is when a read of the shard's records last failed.
	failedReadAt time.Time
	// loaded is set once the shard's jobs have been read from the store.
	loaded bool
	log    *logrus.Entry
	mu     sync.Mutex
	owner  *shard.Owner
	// writtenThrough is the revision of the last transaction of records that this owner knows to be written, or of its claim.
	writtenThrough int64
	// revisions guard the writes of job records.
	revisions *jobrecord.Revisions
	// cancellations is the set of jobs with a recorded cancellation.
	cancellations map[string]bool
	// registry holds the workers of all shards, by the store key of their registry entry.
	registry map[string]shard.Worker
	// previousEpoch is the revision of the shard's epoch key that guarded the claim of this owner; 0 if the claim is of an older build.
	previousEpoch int64
	// takenAt is when this runner was created, after the claim of the shard.
	takenAt time.Time
	// hasSkippedRecord is set if this owner could not read one of the shard's records.
	hasSkippedRecord bool
	// ownerKeyRevision is the revision of the shard's owner key. All writes of the owner are guarded by it.
	ownerKeyRevision int64
	shard            int
	// roomPromisedAt is when this owner last told another one that its workers have room.
	roomPromisedAt time.Time
	// callSemaphores limit the concurrent calls to each worker, by worker.
	callSemaphores map[string]chan struct{}
	// maxTimerLag is the longest delay of a timer since the previous summary.
	maxTimerLag time.Duration
	// lastSummary is when the previous summary was logged.
	lastSummary time.Time
	// wake starts a scheduling round before the loop's timer fires.
	wake chan struct{}
}

// newRunner returns the runner of shard n, whose owner and epoch keys this host wrote at a revision. The revision is also the
// token that fences earlier owners.
func newRunner(h *Host, n int, revision, lease int64) *runner {
	log := h.log.WithField("shard", n)
	ctx, cancel := context.WithCancel(context.Background())
	now := h.now()
	return &runner{
		ctx: ctx, cancel: cancel, cancellations: map[string]bool{}, changedAt: now, epochKeyRevision: revision,
		expected: expectedJobs{}, gauges: map[string]bool{}, host: h, lease: lease, log: log, takenAt: now,
		owner: shard.NewOwner(revision, now, shard.WithLog(log), shard.WithShard(n), shard.WithTiming(h.timing()),
			shard.WithRemoteFactor(h.settings.Worker.RemoteFactor, countLocalWait), shard.WithStartObserver(startWait.Observe),
			shard.WithLifetimeObserver(countLifetimeEvent), shard.WithRetryObserver(countRetry),
			shard.WithPanicObserver(func(decision string, v any) { logPanic(log, decision, v) }),
			shard.WithInterferenceObserver(func(s interference.State, d time.Duration) {
				overTargetSeconds.AddFloat(string(s), d.Seconds())
			})),
		registry: map[string]shard.Worker{}, ownerKeyRevision: revision, shard: n, writtenThrough: revision, revisions: jobrecord.New(jobrecord.WithKeys(
			func(id string) string { return jobKey(n, id) }, func(id string) string { return progressKey(n, id) })),
		callSemaphores: map[string]chan struct{}{}, wake: make(chan struct{}, 1),
	}
}

func (r *runner) start() {
	r.owner.SetConfig(r.host.config.config())
	r.applyEvacuations()
	for _, task := range []func(){
		r.loop, r.deleteExpiredStates, r.followWeights, r.recordWeights, r.followLayout, r.lendHeadroom, r.exchangeTasks, r.settle, r.followBuilds,
		r.followLateHandover, r.recordAnswers,
	} {
		r.run(task)
	}
	r.run(func() {
		watchPrefix(r.ctx, r.loadStore(), r.log, r.host.platform.WorkerPrefix, r.loadRegistry, r.applyRegistryEvents)
	})
	r.run(func() {
		store := r.loadStore()
		var others sync.WaitGroup
		var mark workflow.AnsweredMark
		others.Go(func() {
			if r.loadHandover(); !r.isHandedOver() {
				mark = r.readAnsweredMark() // a handover names the starts without responses
			}
		})
		recorded := r.readProgress(store)
		others.Wait()
		if r.ctx.Err() != nil {
			return
		}
		r.applyAnsweredMark(mark, recorded)
		watchPrefix(r.ctx, store, r.log, shardJobsPrefix(r.shard), func(kvs []kvstore.KV, revision int64) {
			r.loadJobs(kvs, revision, recorded)
			recorded = nil
		}, r.applyJobEvents)
	})
}

// isHandedOver reports whether the last owner handed the shard over.
func (r *runner) isHandedOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inherited != nil
}

func (r *runner) close() { r.cancel() }

// mayAct reports whether this host may act as the owner of the shard: the jobs are loaded, no worker has fenced this host,
// and the lease under which it took the shard is certain to be valid still.
func (r *runner) mayAct(now time.Time) bool {
	lease, expires := r.host.session.currentLease()
	return !r.deposed && r.loaded && lease == r.lease && now.Before(expires)
}

func (r *runner) ownerRevision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownerKeyRevision
}

// stability returns when the shard was taken, its jobs were read or it was taken again, whichever came last, and whether the jobs
// have been read and this host has not been fenced.
func (r *runner) stability() (changedAt time.Time, isActive bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changedAt, r.loaded && !r.deposed
}

func (r *runner) epochRevision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epochKeyRevision
}

// setEpochRevision notes a change of the epoch key by a claim of this host whose response was lost and whose lease has ended since.
func (r *runner) setEpochRevision(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epochKeyRevision = revision
}

// ownerLease returns the lease under which this host wrote the owner key.
func (r *runner) ownerLease() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

// resume continues with the same state under a new ownership of the shard, whose claim bounds the leases of earlier owners. The claim
// was guarded by the last epoch of this runner, so a worker that rejected its last token did not do so because of a later owner.
func (r *runner) resume(revision, lease int64, earlier time.Duration) {
	r.mu.Lock()
	r.earlierEnd = r.host.now().Add(earlier)
	r.ownerKeyRevision, r.epochKeyRevision, r.lease = revision, revision, lease
	r.owner.SetToken(r.host.now(), revision)
	r.changedAt, r.deposed, r.writtenThrough = r.host.now(), false, max(r.writtenThrough, revision)
	r.owner.MarkAnew(r.host.now())
	r.mu.Unlock()
	r.wakeLoop()
}

func (r *runner) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// updateOwner runs f with the owner locked and then wakes the scheduling loop.
func (r *runner) updateOwner(f func(now time.Time)) {
	r.locked(func() { f(r.host.now()) })
	r.wakeLoop()
}

// loop runs a scheduling round when it is woken and when the owner's next step is due. While this host may not act as the owner,
// it only checks again every electionInterval.
func (r *runner) loop() {
	timer := time.NewTimer(retry.ShortestTimer)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		pause := electionInterval
		r.locked(func() {
			if now := r.host.now(); r.mayAct(now) && !r.requestToken() {
				r.owner.NoteRenewal(r.host.session.renewedAt())
				r.reportSummary(now)
				a := r.owner.Step(now)
				pause = max(a.Wake.Sub(now), minStepInterval)
				r.dispatch(a)
			}
		})
		slept := time.Now()
		retry.Sleep(r.ctx, minStepInterval)
		r.observeTimerLag(time.Since(slept) - minStepInterval)
		timer.Reset(pause)
	}
}

// observeTimerLag records how late a timer fired. The lag grows when the host has too little processor time.
func (r *runner) observeTimerLag(lag time.Duration) {
	timerLag.Observe(lag)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxTimerLag = max(r.maxTimerLag, lag)
}

// reportSummary logs and exports the state of the shard, at most once per summaryInterval.
func (r *runner) reportSummary(now time.Time) {
	if now.Sub(r.lastSummary) < summaryInterval {
		return
	}
	r.lastSummary = now
	s := r.owner.Summary(now)
	gauges := map[string]int{
		"fills": s.BestEffort, "forecast_bias": s.ForecastBias, "forecast_error": s.ForecastError,
		"forecast_wait_ms": int(s.ForecastWait.Milliseconds()), "late_wait_ms": int(s.LateWait.Milliseconds()),
		"jobs": s.Jobs, "over": s.OverTarget, "runs": s.Runs, "silent_runs": s.SilentRuns,
		"uncommitted": s.Uncommitted, "unstarted": s.Unstarted, "waiting": s.Waiting, "waiting_beside_room": s.WaitingBesideRoom,
		"waiting_evacuated": s.WaitingEvacuated,
	}
	for zone, n := range s.EvacuatedRuns {
		gauges["evacuated_runs_"+zone] = n
	}
	r.setGauges(gauges)
	r.log.WithFields(logrus.Fields{
		"decision": "summary", "evacuated_runs": s.EvacuatedRuns, "fill_pace": s.BestEffortPace, "fills": s.BestEffort,
		"forecast_bias": s.ForecastBias, "forecast_error": s.ForecastError, "forecast_wait": s.ForecastWait.String(),
		"late_wait":      s.LateWait.String(),
		"headroom_milli": s.HeadroomAvailable, "headroom_target_milli": s.HeadroomTarget, "jobs": s.Jobs, "over": s.OverTarget,
		"runs": s.Runs, "serving": s.Serving, "silent_runs": s.SilentRuns, "stopping": s.Stopping, "timer_lag": r.maxTimerLag.String(),
		"uncommitted": s.Uncommitted, "uncommitted_age": s.OldestUncommitted.String(),
		"unstarted": s.Unstarted, "unstarted_age": s.OldestUnstarted.String(),
		"waiting": s.Waiting, "waiting_beside_room": s.WaitingBesideRoom, "waiting_evacuated": s.WaitingEvacuated,
		"waiting_fills": s.WaitingBestEffort, "waiting_long_running": s.WaitingLongRunning, "workers": s.Workers,
	}).Info("shard summary")
	r.owner.Report(now)
	r.maxTimerLag = 0
}

func (r *runner) setConfig(c workflow.Config) {
	r.updateOwner(func(time.Time) { r.owner.SetConfig(c) })
}

// serviceLoad returns the load of a service's workers in the shard, and whether the shard's workers can hold the demands. isOwner is
// false if this host has not loaded the shard's jobs and workers or has been fenced.
func (r *runner) serviceLoad(service string, demands []shard.Demand) (l shard.Load, suits, isOwner bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded || r.deposed {
		return shard.Load{}, false, false
	}
	expected := r.expected.demand(r.host.now(), service, func(id string) bool {
		_, ok := r.owner.State(id)
		return ok
	})
	return r.owner.Load(service).WithExpected(expected), r.appliedLayout == 0 || r.owner.Suits(demands), true
}

// expectJob notes that a host has chosen this shard for a job, which it has not recorded yet.
func (r *runner) expectJob(id, service string, demand shard.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected.add(r.host.now(), id, service, demand)
}

func (r *runner) loadRegistry(kvs []kvstore.KV, _ int64) {
	r.locked(func() {
		r.registry = map[string]shard.Worker{}
		for _, kv := range kvs {
			r.setRegistryEntry(kv)
		}
	})
	r.updateWorkers()
}

func (r *runner) applyRegistryEvents(events []kvstore.Event) {
	r.locked(func() {
		for _, ev := range events {
			if ev.Deleted {
				delete(r.registry, ev.KV.Key)
			} else {
				r.setRegistryEntry(ev.KV)
			}
		}
	})
	r.updateWorkers()
}

// setRegistryEntry adds the worker of a registry entry, or removes it if the entry can't be decoded.
func (r *runner) setRegistryEntry(kv kvstore.KV) {
	w, err := r.host.platform.DecodeWorker(kv)
	if err != nil {
		r.log.WithError(err).WithFields(logrus.Fields{"decision": "worker_entry_skipped", "key": kv.Key, "revision": kv.ModRevision}).
			Warn("skipping registry entry that can't be decoded")
		delete(r.registry, kv.Key)
		return
	}
	r.registry[kv.Key] = w
}
