package host

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/attribution"
	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/interference"
	"github.com/laburnumridge/laburnumridge/internal/invariant"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/placement"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// Timing of a shard owner's loop.
const (
	ownerTickInterval = 100 * time.Millisecond
	placementInterval = 250 * time.Millisecond
	// ownerPauseThreshold is a gap between ticks that occurs only if the process was paused.
	ownerPauseThreshold = time.Second
	handoverTimeout     = 5 * time.Second
	// replicaDrainTime is how long a backend server gets no new requests before its replica is stopped.
	replicaDrainTime = 3 * time.Second
)

// errDeposed means that another host owns the shard.
var errDeposed = eris.New("shard is owned by another host")

// shardOwner runs one shard. Except for the atomics, its fields are used by its loop only; other goroutines post
// functions to the loop.
type shardOwner struct {
	attribution    *attribution.Attributor
	evictionBudget *interference.Budget
	// reservedOn is the worker on which capacity is reserved for a waiting task, by task.
	reservedOn map[string]string
	// drainingSince is when a replica's backend server stopped getting requests, by job.
	drainingSince map[string]time.Time
	epoch         int64
	// failedOn lists the workers on which a batch task has failed, by task.
	failedOn    map[string][]string
	grants      *granter
	handingOver bool
	lastReport  map[string]time.Time // time of each worker's last report
	host        *Host
	// tickNow requests a tick at once. Otherwise a takeover would wait for the ticker at each of its steps.
	tickNow    bool
	id         fleet.ShardID
	ledger     *ledger.Owner
	mitigation *mitigation
	// freePercent is the unreserved percentage of the shard's processors, which heartbeats report to peers.
	freePercent   atomic.Int64
	lastObserved  time.Time
	lastPlacement time.Time
	log           *logrus.Entry
	// posted holds the functions that other goroutines have queued for the loop.
	posted chan func(now time.Time)
	// pendingEntry is the log entry that was appended last. If its outcome is unknown, the same entry is appended again.
	pendingEntry      *kvstore.Entry
	placer            *placement.Placer
	probes            map[string]string // worker that each probing task tests
	quarantineReasons map[string]string
	queue             *placementQueue
	reports           map[string]workerState
	// retiringSince is when a replica was found to be no longer wanted, by job.
	retiringSince map[string]time.Time
	lastTick      time.Time
	// contactSince is when workers could begin to report to the owner: when it took the shard over, or when it
	// resumed after a pause, in which no report could reach it.
	contactSince time.Time
	// seenEnds is when the end of an attempt was first reported.
	seenEnds   map[ledger.AttemptRef]time.Time
	servesKeys bool // as last announced to peers
	startedAt  map[string]time.Time
	ledgerLog  *kvstore.Log
	// verifying is set while shards.verify rewrites the shard's record.
	verifying atomic.Bool
	// waitReasons is the last recorded reason why a task waits, by task.
	waitReasons map[string]string
}

func newShardOwner(h *Host, id fleet.ShardID, epoch int64) *shardOwner {
	o := &shardOwner{
		attribution:       attribution.New(),
		evictionBudget:    interference.NewBudget(interference.DefaultEvictions),
		reservedOn:        map[string]string{},
		drainingSince:     map[string]time.Time{},
		epoch:             epoch,
		failedOn:          map[string][]string{},
		lastReport:        map[string]time.Time{},
		host:              h,
		id:                id,
		log:               h.log.WithFields(logrus.Fields{"shard": id.String(), "epoch": epoch}),
		posted:            make(chan func(time.Time), 1024),
		probes:            map[string]string{},
		quarantineReasons: map[string]string{},
		queue:             newPlacementQueue(),
		reports:           map[string]workerState{},
		retiringSince:     map[string]time.Time{},
		contactSince:      time.Now(),
		seenEnds:          map[ledger.AttemptRef]time.Time{},
		startedAt:         map[string]time.Time{},
		ledgerLog:         kvstore.NewLog(h.storeFor(kvstore.ClassLedger), "ledger/"+id.String()),
		waitReasons:       map[string]string{},
	}
	o.placer = placement.New(
		placement.WithQuota(o.quota),
		placement.WithViolationHandler(h.invariants.ReportViolation),
		placement.WithEvictionsLeft(o.evictionsLeft),
		placement.WithSlowdown(o.predictedSlowdown),
	)
	o.mitigation = newMitigation(o.evictionBudget)
	o.grants = newGranter(o)
	return o
}

// run manages the shard until ctx ends, the host drains or another host takes over.
func (o *shardOwner) run(ctx context.Context) error {
	state, err := o.load(ctx)
	if err != nil {
		return err
	}
	o.ledger = ledger.NewOwner(state, o.host.id, o.epoch, o.host.verifiedRenewal(o.id, o.epoch),
		ledger.WithViolationHandler(o.ledgerViolated), ledger.WithStartCondition(o.mayStart))
	ticker := time.NewTicker(ownerTickInterval)
	defer ticker.Stop()
	var handover time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-o.posted:
			f(time.Now())
			if !o.tickNow {
				continue
			}
			o.tickNow = false
		case <-ticker.C:
		}
		now := time.Now()
		if o.handingOver && handover.IsZero() {
			handover = now
			o.ledger.StartHandover()
		}
		o.tick(ctx, now)
		switch {
		case o.ledger.IsDeposed():
			return errDeposed
		case !handover.IsZero() && (o.ledger.ReadyToHandOver() || now.Sub(handover) > handoverTimeout):
			return nil
		}
	}
}

// post queues f for the owner's loop. f is dropped if the loop has ended or is far behind, so it must be something that is
// sent or reported again.
func (o *shardOwner) post(f func(now time.Time)) {
	select {
	case o.posted <- f:
	default:
		o.log.Warn("queue of the shard owner's loop is full; dropped a function")
	}
}

// postUntil queues f for the owner's loop and waits for room in the queue until ctx ends. It is for what happens only
// once, such as the outcome of a commit.
func (o *shardOwner) postUntil(ctx context.Context, f func(now time.Time)) {
	select {
	case o.posted <- f:
	case <-ctx.Done():
	}
}

// callOwner runs f on the owner's loop and returns its result. If ctx ends first, f may still run later, so it must
// not write to variables of the caller.
func callOwner[T any](ctx context.Context, o *shardOwner, f func(now time.Time) T) (T, error) {
	got := make(chan T, 1)
	o.postUntil(ctx, func(now time.Time) { got <- f(now) })
	select {
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	case t := <-got:
		return t, nil
	}
}

func (o *shardOwner) load(ctx context.Context) (ledger.State, error) {
	for {
		state, err := o.read(ctx)
		if err == nil {
			return state, nil
		}
		o.log.WithError(err).Warn("failed to read the shard's ledger; trying again within a second")
		retry.Sleep(ctx, jitter(time.Second))
		if ctx.Err() != nil {
			return ledger.State{}, ctx.Err()
		}
	}
}

func (o *shardOwner) read(ctx context.Context) (ledger.State, error) {
	var state ledger.State
	snap, entries, err := o.ledgerLog.Load(ctx)
	if err != nil {
		return state, err
	}
	if len(snap.Data) > 0 {
		if err := json.Unmarshal(snap.Data, &state); err != nil {
			return state, eris.Wrap(err, "ledger snapshot")
		}
	}
	for _, e := range entries {
		batch, err := ledger.DecodeBatch(e.Data)
		if err != nil {
			return state, err
		}
		if state, err = state.Apply(batch); err != nil {
			return state, eris.Wrapf(err, "ledger entry %d", e.Seq)
		}
	}
	return state, nil
}

func (o *shardOwner) tick(ctx context.Context, now time.Time) {
	if now.Sub(o.lastTick) > ownerPauseThreshold {
		o.contactSince = now
	}
	o.lastTick = now
	o.ledger.LeaseRenewed(o.host.verifiedRenewal(o.id, o.epoch))
	workers := o.workers()
	o.ledger.UpdateHosts(now, workers)
	o.updateKeyTable(workers)
	if now.Sub(o.lastPlacement) >= placementInterval && !o.handingOver && o.ledger.HasTakenOver() {
		o.lastPlacement = now
		o.pruneRecords(now)
		o.observeRunning(now)
		o.reconcileReplicas(now)
		o.acceptJobs(now)
		o.place(now, workers)
		o.mitigate(now)
	}
	actions := o.ledger.Tick(now)
	for _, end := range actions.Ended {
		o.recordAttemptEnd(now, end)
	}
	o.carryOut(ctx, actions)
	o.grants.round(now)
}

func (o *shardOwner) workers() []fleet.Host {
	return o.host.hosts.snapshot().WorkersOf(o.id, o.host.shardCount(o.id.Zone))
}

func (o *shardOwner) quota(team string) fleet.Resources {
	c, _ := o.host.notes.current()
	item, _ := c.Item(team)
	return item.Work.Quota
}

// updateKeyTable tells the key table which workers count for its majority and until when the platform lease is held.
// It also updates freePercent.
func (o *shardOwner) updateKeyTable(workers []fleet.Host) {
	table, ok := o.host.keyTables.get(o.id)
	if !ok || table.epoch != o.epoch {
		return
	}
	ids := make([]string, 0, len(workers))
	reservations := o.ledger.Reservations()
	var capacity, reserved fleet.Resources
	for _, w := range workers {
		ids = append(ids, w.ID)
		capacity = capacity.Add(w.Capacity)
		reserved = reserved.Add(reservations[w.ID].Total())
	}
	table.SetWorkers(ids)
	table.SetPlatformLease(o.host.verifiedRenewal(o.id, o.epoch).Add(sessionValidity))
	if serves := table.MayClaim(time.Now()); serves != o.servesKeys {
		o.servesKeys = serves
		o.host.mesh.BroadcastHeartbeat() // keyed requests wait until peers know this
	}
	if capacity.CPUMilli > 0 {
		o.freePercent.Store(max(0, 100-100*reserved.CPUMilli/capacity.CPUMilli))
	}
}

// mayStart reports whether a bound task may start on its worker now. Batch tasks don't start on a quarantined worker,
// except as its probe, or on one that is closed to batch work.
func (o *shardOwner) mayStart(worker string, j ledger.Job) bool {
	if j.IsLatencyCritical() {
		return true
	}
	if o.attribution.IsQuarantined(worker) {
		return slices.ContainsFunc(j.TaskIDs(), func(task string) bool { return o.probes[task] == worker })
	}
	return !o.isClosedToBatch(worker)
}

func (o *shardOwner) ledgerViolated(name, detail string) {
	o.host.invariants.ReportViolation(invariant.SingleRun, name+": "+detail)
}

func (o *shardOwner) recordDecision(d explain.Decision) {
	d.Zone = o.id.Zone
	if item, ok := o.item(d.Work); ok {
		d.Note, d.Revision = item.NoteID, item.ChangedRevision
	}
	o.host.decisions.Add(d)
}

func (o *shardOwner) item(work string) (note.Item, bool) {
	c, _ := o.host.notes.current()
	return c.Item(work)
}
