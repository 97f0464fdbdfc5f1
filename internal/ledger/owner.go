package ledger

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Errors of an owner's methods.
var (
	// ErrNotBindable says that the task has ended, is being changed, or may still run.
	ErrNotBindable = eris.New("task can't be bound")
	// ErrNotOwner says that the shard was taken over or handed over.
	ErrNotOwner = eris.New("not the owner of the shard")
	// ErrUnknown says that there is no such job or task.
	ErrUnknown = eris.New("unknown job or task")
)

// Owner decides for one shard while its host owns it. It is used from one goroutine.
//
// Each now must be read after the event that is reported and must not go back.
type Owner struct {
	// commitFailed is when the last batch that was not committed, or not certainly, was sent.
	commitFailed time.Time
	deposed      bool
	draining     bool
	ended        []AttemptEnd
	epoch        int64
	host         string
	inFlight     *Commit
	lastCommit   time.Time
	lastRenewal  time.Time
	// marked are the workers with a task that was bound to them before they supported epochs.
	marked    map[string]bool
	order     int64
	pending   *Batch
	proposed  map[string]bool
	queue     []Change
	resolve   bool
	runs      map[string]*run
	seq       int64
	startGate func(worker string, j Job) bool
	state     State
	takenAt   time.Time
	timing    Timing
	violated  func(name, detail string)
	views     map[string]*view
}

// Option changes an owner.
type Option func(*Owner)

// WithTiming replaces the default durations.
func WithTiming(t Timing) Option { return func(o *Owner) { o.timing = t } }

// WithViolated sets the function that is called when an assertion fails.
func WithViolated(f func(name, detail string)) Option { return func(o *Owner) { o.violated = f } }

// NewOwner returns the owner of a shard whose log reads as s, with an epoch that no other owner has.
// It proposes the takeover first and acts once that is committed. It is deposed at once if the log holds a
// takeover with this or a later epoch: its host was paused after it took the epoch.
func NewOwner(s State, host string, epoch int64, renewedAt time.Time, options ...Option) *Owner {
	o := &Owner{
		deposed: epoch <= s.Epoch(), epoch: epoch, host: host, lastRenewal: renewedAt, proposed: map[string]bool{},
		runs: map[string]*run{}, state: s, timing: DefaultTiming(), views: map[string]*view{},
		startGate: func(string, Job) bool { return true }, violated: func(string, string) {},
	}
	for _, option := range options {
		option(o)
	}
	for _, t := range s.Tasks() {
		if !t.Phase.IsEnd() {
			o.addRun(t)
		}
	}
	o.mark()
	o.queue = []Change{TakeOver(epoch, host)}
	return o
}

// Epoch returns the owner's epoch.
func (o *Owner) Epoch() int64 { return o.epoch }

// HandedOver reports whether a handover is complete: nothing is left to commit.
func (o *Owner) HandedOver() bool { return o.draining && o.pending == nil && len(o.queue) == 0 }

// Handover stops starts, stops and bindings; what was proposed before is still committed.
// Heartbeats go on until HandedOver, so that tasks outlive the handover.
func (o *Owner) Handover() { o.draining = true }

// HostList takes the workers that the host list shows for the shard.
func (o *Owner) HostList(now time.Time, workers []fleet.Host) {
	listed := map[string]bool{}
	for _, h := range workers {
		listed[h.ID] = true
		v := o.view(h.ID)
		v.listed, v.leaving, v.absentSince = true, h.IsLeaving(), time.Time{}
		if v.bootID == "" {
			v.capacity = h.Capacity
		}
	}
	for id, v := range o.views {
		if !listed[id] && v.absentSince.IsZero() {
			v.listed, v.absentSince = false, now
		}
	}
	// Workers of bindings that the list never showed count as absent from now on.
	for _, r := range o.runs {
		if r.worker != "" && o.views[r.worker] == nil {
			o.view(r.worker).absentSince = now
		}
	}
}

// IsDeposed reports whether another owner is known to have taken over.
func (o *Owner) IsDeposed() bool { return o.deposed }

// LeaseRenewed takes the time when the last successful renewal of the platform lease was sent. After the
// lease had lapsed the host calls it only once it has read that the shard's record still has this epoch.
func (o *Owner) LeaseRenewed(sentAt time.Time) {
	if sentAt.After(o.lastRenewal) {
		o.lastRenewal = sentAt
	}
}

// MayAct reports whether the owner may send to the worker now.
func (o *Owner) MayAct(now time.Time, worker string) bool {
	if o.deposed || o.takenAt.IsZero() {
		return false
	}
	if o.holdsLease(now) {
		return true
	}
	v := o.views[worker]
	return v != nil && v.bootID != "" && o.isCapable(v) &&
		now.Sub(o.lastRenewal) < o.timing.Autonomy
}

// State returns the committed state.
func (o *Owner) State() State { return o.state }

func (o *Owner) addRun(t Task) {
	if o.runs[t.ID] != nil {
		return
	}
	o.order++
	j := o.state.jobs[t.Job]
	r := &run{
		attempt: t.Attempt, attemptKnown: t.Worker == "", checkpoint: t.Checkpoint, id: t.ID,
		closing: j.Withdrawn || j.Parked, job: j.Job, order: o.order,
		settled: t.Attempt, worker: t.Worker,
	}
	if t.Worker != "" {
		r.phase = runUnproven
	}
	o.runs[t.ID] = r
}

func (o *Owner) holdsLease(now time.Time) bool {
	return now.Sub(o.lastRenewal) < o.timing.PlatformHold
}

// isCapable treats a worker like one without epochs as long as a task is bound to it that was bound before
// the worker supported epochs: a later owner that can't reach the worker relies on that mark.
func (o *Owner) isCapable(v *view) bool {
	return v.capable && !o.marked[v.id]
}

func (o *Owner) mark() {
	o.marked = map[string]bool{}
	for _, t := range o.state.tasks {
		if t.NoEpochs && !t.Phase.IsEnd() {
			o.marked[t.Worker] = true
		}
	}
}

func (o *Owner) sortedRuns() []*run {
	out := make([]*run, 0, len(o.runs))
	for _, r := range o.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return int(a.order - b.order) })
	return out
}

func (o *Owner) sortedViews() []*view {
	out := make([]*view, 0, len(o.views))
	for _, v := range o.views {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b *view) int { return strings.Compare(a.id, b.id) })
	return out
}

func (o *Owner) view(id string) *view {
	v := o.views[id]
	if v == nil {
		v = &view{id: id, strays: map[TaskEnd]time.Time{}}
		o.views[id] = v
	}
	return v
}
