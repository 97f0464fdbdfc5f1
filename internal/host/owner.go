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
	ownerTick  = 100 * time.Millisecond
	placeEvery = 250 * time.Millisecond
	// ownerPause is a gap between ticks that only a pause of the process explains.
	ownerPause      = time.Second
	handoverTimeout = 5 * time.Second
	// drainTime is how long a backend server gets no new requests before its replica is stopped.
	drainTime = 3 * time.Second
)

// errDeposed says that another host owns the shard.
var errDeposed = eris.New("shard is owned by another host")

// shardOwner runs one shard. All fields are used by its loop only; other goroutines post functions to it.
type shardOwner struct {
	attribution *attribution.Attributor
	budget      *interference.Budget
	// admitted is the worker on which a task that waits has room reserved, by task.
	admitted map[string]string
	// draining is when a replica's backend server stopped taking requests, by job.
	draining map[string]time.Time
	epoch    int64
	failedOn map[string][]string
	grants   *granting
	handing  bool
	heard    map[string]time.Time // last report of each worker
	host     *Host
	// hurry asks for a tick at once, so that a takeover does not wait for the ticker at each of its steps.
	hurry      bool
	id         fleet.ShardID
	ledger     *ledger.Owner
	mitigation *mitigation
	// freePercent is the part of the shard's processors that is not reserved, for peers.
	freePercent  atomic.Int64
	lastObserved time.Time
	lastPlace    time.Time
	log          *logrus.Entry
	mail         chan func(now time.Time)
	pendingEntry *kvstore.Entry
	placer       *placement.Placer
	probes       map[string]string // worker that a task probes
	quarantined  map[string]string
	queue        *queue
	reports      map[string]*workerReport
	rollouts     map[string]time.Time
	lastTick     time.Time
	// since is when the owner began to hear its workers: when it took the shard, or when it was resumed after
	// a pause, in which no report could reach it.
	since     time.Time
	seenEnds  map[ledger.TaskEnd]time.Time
	serves    bool // keys, as peers were told last
	started   map[string]time.Time
	store     *kvstore.Log
	verifying atomic.Bool
	waitsFor  map[string]string
}

func newShardOwner(h *Host, id fleet.ShardID, epoch int64) *shardOwner {
	o := &shardOwner{
		attribution: attribution.New(),
		budget:      interference.NewBudget(interference.DefaultEvictions),
		admitted:    map[string]string{},
		draining:    map[string]time.Time{},
		epoch:       epoch,
		failedOn:    map[string][]string{},
		heard:       map[string]time.Time{},
		host:        h,
		id:          id,
		log:         h.log.WithFields(logrus.Fields{"shard": id.String(), "epoch": epoch}),
		mail:        make(chan func(time.Time), 1024),
		probes:      map[string]string{},
		quarantined: map[string]string{},
		queue:       newQueue(),
		reports:     map[string]*workerReport{},
		rollouts:    map[string]time.Time{},
		since:       time.Now(),
		seenEnds:    map[ledger.TaskEnd]time.Time{},
		started:     map[string]time.Time{},
		store:       kvstore.NewLog(h.storeFor(kvstore.ClassLedger), "ledger/"+id.String()),
		waitsFor:    map[string]string{},
	}
	o.placer = placement.New(
		placement.WithQuota(o.quota),
		placement.WithViolated(h.check.Violated),
		placement.WithEvictionsLeft(o.evictionsLeft),
		placement.WithSlowdown(o.predictedSlowdown),
	)
	o.mitigation = newMitigation(o.budget)
	o.grants = newGranting(o)
	return o
}

// run owns the shard until ctx ends, the host drains or another host takes over.
func (o *shardOwner) run(ctx context.Context) error {
	state, err := o.load(ctx)
	if err != nil {
		return err
	}
	o.ledger = ledger.NewOwner(state, o.host.id, o.epoch, o.host.trustedRenewal(o.id, o.epoch),
		ledger.WithViolated(o.ledgerViolated), ledger.WithStartGate(o.mayStart))
	ticker := time.NewTicker(ownerTick)
	defer ticker.Stop()
	var handover time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-o.mail:
			f(time.Now())
			if !o.hurry {
				continue
			}
			o.hurry = false
		case <-ticker.C:
		}
		now := time.Now()
		if o.handing && handover.IsZero() {
			handover = now
			o.ledger.Handover()
		}
		o.tick(ctx, now)
		switch {
		case o.ledger.IsDeposed():
			return errDeposed
		case !handover.IsZero() && (o.ledger.HandedOver() || now.Sub(handover) > handoverTimeout):
			return nil
		}
	}
}

// post runs f on the owner's loop; it is dropped if the loop has ended or is far behind.
func (o *shardOwner) post(f func(now time.Time)) {
	select {
	case o.mail <- f:
	default:
		o.log.Warn("owner loop is behind, an observation is dropped")
	}
}

// askOwner runs f on the owner's loop and returns what it returns. If ctx ends first, f may still run later, so
// it must not write to anything of the caller's.
func askOwner[T any](ctx context.Context, o *shardOwner, f func(now time.Time) T) (T, error) {
	got := make(chan T, 1)
	o.post(func(now time.Time) { got <- f(now) })
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
		o.log.WithError(err).Warn("shard's ledger was not read")
		retry.Sleep(ctx, jitter(time.Second))
		if ctx.Err() != nil {
			return ledger.State{}, ctx.Err()
		}
	}
}

func (o *shardOwner) read(ctx context.Context) (ledger.State, error) {
	var state ledger.State
	snap, entries, err := o.store.Load(ctx)
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
	if now.Sub(o.lastTick) > ownerPause {
		o.since = now
	}
	o.lastTick = now
	o.ledger.LeaseRenewed(o.host.trustedRenewal(o.id, o.epoch))
	workers := o.workers()
	o.ledger.HostList(now, workers)
	o.updateKeys(workers)
	if now.Sub(o.lastPlace) >= placeEvery && !o.handing && o.ledger.HasTakenOver() {
		o.lastPlace = now
		o.forgetOld(now)
		o.observeRunning(now)
		o.acceptServices(now)
		o.acceptJobs(now)
		o.place(now, workers)
		o.mitigate(now)
	}
	actions := o.ledger.Tick(now)
	for _, end := range actions.Ended {
		o.attemptEnded(now, end)
	}
	o.send(ctx, actions)
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

// updateKeys tells the key table which workers' consent it needs and how long the platform lease is held.
func (o *shardOwner) updateKeys(workers []fleet.Host) {
	table, ok := o.host.keys.get(o.id)
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
	table.Workers(ids)
	table.LeaseUntil(o.host.trustedRenewal(o.id, o.epoch).Add(sessionTrusted))
	if serves := table.MayClaim(time.Now()); serves != o.serves {
		o.serves = serves
		o.host.mesh.BeatNow() // keyed requests wait for this news
	}
	if capacity.CPUMilli > 0 {
		o.freePercent.Store(max(0, 100-100*reserved.CPUMilli/capacity.CPUMilli))
	}
}

// mayStart holds back the start of a bound task whose worker or team may take no more now.
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
	o.host.check.Violated(invariant.SingleRun, name+": "+detail)
}

func (o *shardOwner) explain(d explain.Decision) {
	d.Zone = o.id.Zone
	if item, ok := o.item(d.Work); ok {
		d.Note, d.Revision = item.NoteID, item.ChangedAt
	}
	o.host.ring.Add(d)
}

func (o *shardOwner) item(work string) (note.Item, bool) {
	c, _ := o.host.notes.current()
	return c.Item(work)
}
