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
	// ErrNotBindable means that the task has ended, has a proposed change, or may still run.
	ErrNotBindable = eris.New("task can't be bound")
	// ErrNotOwner means that the shard was taken over or handed over, or that the takeover is not committed yet.
	ErrNotOwner = eris.New("not the owner of the shard")
	// ErrUnknown means that the job or task is not recorded, or that the task has ended.
	ErrUnknown = eris.New("unknown job or task")
)

// Owner makes the decisions for one shard while its host owns it. It is not safe for concurrent use.
//
// A now argument must be read after the event that the call reports, and must never be earlier than that of an
// earlier call.
type Owner struct {
	// failedCommitSentAt is when the latest commit that failed or had an unknown outcome was sent.
	failedCommitSentAt time.Time
	deposed            bool
	// handingOver is set once a handover was requested.
	handingOver   bool
	endedAttempts []AttemptEnd
	epoch         int64
	host          string
	// inFlightCommit is the last commit that Tick returned, until its outcome is reported; else nil.
	inFlightCommit *Commit
	// lastCommitSentAt is when the last commit was sent, whatever its outcome.
	lastCommitSentAt time.Time
	// lastRenewalSentAt is when the last successful renewal of the platform lease was sent.
	lastRenewalSentAt time.Time
	// noEpochWorkers are the workers that hold a binding made while they did not support epochs.
	noEpochWorkers map[string]bool
	lastOrder      int64
	// uncommittedBatch is the batch to commit next, or whose commit is in flight; nil if there is none. A batch
	// whose commit failed stays here to be committed again.
	uncommittedBatch *Batch
	proposedJobs     map[string]bool
	// proposals are the proposed changes that are not in a batch yet.
	proposals []Change
	// outcomeUnknown is set if an earlier commit of uncommittedBatch had an unknown outcome, so that the batch may be in
	// the log.
	outcomeUnknown bool
	runs           map[string]*taskRun
	lastSeq        int64
	// startAllowed reports whether a task of the job may start on the worker it is bound to; see WithStartCondition.
	startAllowed func(worker string, j Job) bool
	state        State
	// takeoverAt is when the takeover was committed; zero before that.
	takeoverAt      time.Time
	timing          Timing
	reportViolation func(name, detail string)
	views           map[string]*workerView
}

// Option configures an Owner.
type Option func(*Owner)

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(o *Owner) { o.timing = t } }

// WithViolationHandler sets the function that is called when an invariant is violated.
func WithViolationHandler(f func(name, detail string)) Option {
	return func(o *Owner) { o.reportViolation = f }
}

// NewOwner returns the owner of a shard whose log replays to s. The epoch must not be used by any other owner.
// The owner proposes its takeover and sends nothing to workers until that is committed. It is deposed from the
// start if the log holds a takeover with this or a higher epoch, which happens if its host was paused between
// claiming the epoch and reading the log.
func NewOwner(s State, host string, epoch int64, renewedAt time.Time, options ...Option) *Owner {
	o := &Owner{
		deposed: epoch <= s.Epoch(), epoch: epoch, host: host, lastRenewalSentAt: renewedAt, proposedJobs: map[string]bool{},
		runs: map[string]*taskRun{}, state: s, timing: DefaultTiming(), views: map[string]*workerView{},
		startAllowed: func(string, Job) bool { return true }, reportViolation: func(string, string) {},
	}
	for _, option := range options {
		option(o)
	}
	for _, t := range s.Tasks() {
		if !t.Phase.IsEnd() {
			o.addRun(t)
		}
	}
	o.updateNoEpochWorkers()
	o.proposals = []Change{TakeOver(epoch, host)}
	return o
}

// Epoch returns the owner's epoch.
func (o *Owner) Epoch() int64 { return o.epoch }

// ReadyToHandOver reports whether a handover was requested and all proposed changes are committed. The shard may then be
// given to another owner.
func (o *Owner) ReadyToHandOver() bool {
	return o.handingOver && o.uncommittedBatch == nil && len(o.proposals) == 0
}

// StartHandover starts a graceful handover. The owner starts, stops and binds no more tasks, but commits the changes
// that it has proposed. It sends heartbeats until ReadyToHandOver, so that the leases of running tasks do not expire.
func (o *Owner) StartHandover() { o.handingOver = true }

// UpdateHosts updates the set of workers from the platform's host list of the shard.
func (o *Owner) UpdateHosts(now time.Time, workers []fleet.Host) {
	listed := map[string]bool{}
	for _, h := range workers {
		listed[h.ID] = true
		v := o.ensureView(h.ID)
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
	// Workers that have bindings but were never listed count as absent from now on.
	for _, r := range o.runs {
		if r.worker != "" && o.views[r.worker] == nil {
			o.ensureView(r.worker).absentSince = now
		}
	}
}

// IsDeposed reports whether the owner must stop acting, normally because another owner has taken over.
func (o *Owner) IsDeposed() bool { return o.deposed }

// LeaseRenewed records the time at which the last successful renewal of the platform lease was sent. If the lease
// had lapsed, the host must first read the shard's record and check that it still has this owner's epoch.
func (o *Owner) LeaseRenewed(sentAt time.Time) {
	if sentAt.After(o.lastRenewalSentAt) {
		o.lastRenewalSentAt = sentAt
	}
}

// MayAct reports whether the owner may send requests to the worker now. Without its platform lease it may do so
// only for a limited time and only to workers that refuse requests of deposed owners by their epoch.
func (o *Owner) MayAct(now time.Time, worker string) bool {
	if o.deposed || o.takeoverAt.IsZero() {
		return false
	}
	if o.holdsLease(now) {
		return true
	}
	v := o.views[worker]
	return v != nil && v.bootID != "" && o.enforcesEpochs(v) &&
		now.Sub(o.lastRenewalSentAt) < o.timing.Autonomy
}

// State returns the committed state, without proposed changes.
func (o *Owner) State() State { return o.state }

// addRun starts to track a task. Attempts of an earlier owner may exist if the task is bound.
func (o *Owner) addRun(t Task) {
	if o.runs[t.ID] != nil {
		return
	}
	o.lastOrder++
	j := o.state.jobs[t.Job]
	r := &taskRun{
		attempt: t.Attempt, attemptKnown: t.Worker == "", checkpoint: t.Checkpoint, id: t.ID,
		jobClosing: j.Withdrawn || j.Parked, job: j.Job, order: o.lastOrder,
		settledAttempt: t.Attempt, worker: t.Worker,
	}
	if t.Worker != "" {
		r.attemptState = attemptUnverified
	}
	o.runs[t.ID] = r
}

// holdsLease reports whether the host certainly holds its platform lease.
func (o *Owner) holdsLease(now time.Time) bool {
	return now.Sub(o.lastRenewalSentAt) < o.timing.RenewDeadline
}

// enforcesEpochs reports whether the worker is known to refuse requests of deposed owners, and no binding in the log says
// that it does not. A binding made before the worker supported epochs has NoEpochs set. A later owner that can't reach
// the worker relies on that: it assumes that earlier owners stopped sending to the worker when their platform leases
// ended.
func (o *Owner) enforcesEpochs(v *workerView) bool {
	return v.supportsEpochs && !o.noEpochWorkers[v.id]
}

// updateNoEpochWorkers recomputes noEpochWorkers from the committed state.
func (o *Owner) updateNoEpochWorkers() {
	o.noEpochWorkers = map[string]bool{}
	for _, t := range o.state.tasks {
		if t.NoEpochs && !t.Phase.IsEnd() {
			o.noEpochWorkers[t.Worker] = true
		}
	}
}

func (o *Owner) sortedRuns() []*taskRun {
	out := make([]*taskRun, 0, len(o.runs))
	for _, r := range o.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *taskRun) int { return int(a.order - b.order) })
	return out
}

func (o *Owner) sortedViews() []*workerView {
	out := make([]*workerView, 0, len(o.views))
	for _, v := range o.views {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b *workerView) int { return strings.Compare(a.id, b.id) })
	return out
}

// ensureView returns the view of a worker, and adds one if there is none.
func (o *Owner) ensureView(id string) *workerView {
	v := o.views[id]
	if v == nil {
		v = &workerView{id: id, orphans: map[AttemptRef]time.Time{}}
		o.views[id] = v
	}
	return v
}
