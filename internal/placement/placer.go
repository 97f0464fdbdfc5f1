package placement

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Policy selects how a worker is chosen among those that pass the filters.
type Policy string

// Policies of a Placer.
const (
	// PolicyFirstFit is a baseline that takes the first worker by id.
	PolicyFirstFit Policy = "first_fit"
	// PolicyLeastLoaded is a baseline that takes the worker with the largest free fraction.
	PolicyLeastLoaded Policy = "least_loaded"
	// PolicyScore takes the worker with the best score; only this policy evicts.
	PolicyScore Policy = "score"
)

// Placer chooses workers for tasks.
type Placer struct {
	evictionsLeft func(t *Task) int
	policy        Policy
	quota         func(team string) fleet.Resources
	slowdown      func(w *Worker, t *Task) float64
	violated      func(name, detail string)
}

// PlacerOption sets a field of a Placer.
type PlacerOption func(*Placer)

// New returns a Placer with PolicyScore, no quotas, no predicted slowdown and no evictions.
func New(opts ...PlacerOption) *Placer {
	p := &Placer{
		evictionsLeft: func(*Task) int { return 0 },
		policy:        PolicyScore,
		quota:         func(string) fleet.Resources { return fleet.Resources{} },
		violated:      func(string, string) {},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// WithEvictionsLeft sets the number of evictions that the budget still admits for a task.
func WithEvictionsLeft(left func(t *Task) int) PlacerOption {
	return func(p *Placer) { p.evictionsLeft = left }
}

// WithPolicy sets the policy.
func WithPolicy(policy Policy) PlacerOption { return func(p *Placer) { p.policy = policy } }

// WithQuota sets the quota of a team in each zone; 0 in a dimension means that none is set.
func WithQuota(quota func(team string) fleet.Resources) PlacerOption {
	return func(p *Placer) { p.quota = quota }
}

// WithSlowdown sets the predicted slowdown of the services on w if t is added; 1 means none.
func WithSlowdown(slowdown func(w *Worker, t *Task) float64) PlacerOption {
	return func(p *Placer) { p.slowdown = slowdown }
}

// WithViolated sets the assertion that fires if a reservation would exceed a worker.
func WithViolated(violated func(name, detail string)) PlacerOption {
	return func(p *Placer) { p.violated = violated }
}

// Place chooses a worker for t. If the task must wait, the decision says why and the error matches
// ErrNoRoom, ErrNeverFits or ErrQuota.
func (p *Placer) Place(v View, t Task) (Decision, error) {
	var found options
	pass := p.consider(v, &t, &found)
	d := Decision{Options: found.list(), Task: t.ID}
	if found.scoredN > 0 {
		d.Reason, d.Worker = p.reason(), found.scored[0].Worker
		return d, nil
	}
	if pass.inZone && !pass.fitsEmpty {
		return d.wait(ReasonNeverFits), eris.Wrapf(ErrNeverFits, "task %s (%s)", t.ID, t.Resources)
	}
	reason := ReasonNoRoom
	if p.policy == PolicyScore && t.IsUrgent() && pass.full > 0 {
		evict, ok := p.evict(v, &t)
		if ok {
			d.Reason, d.Worker, d.Victims = ReasonEviction, evict.worker, evict.ids()
			return d, nil
		}
		if evict.budgetSpent {
			reason = ReasonNoBudget
		}
	}
	if pass.overQuota > 0 && pass.full == 0 {
		return d.wait(ReasonQuota), eris.Wrapf(ErrQuota, "task %s of team %s", t.ID, t.Team)
	}
	return d.wait(reason), eris.Wrapf(ErrNoRoom, "task %s", t.ID)
}

// Reserve applies a decision. It leaves the view as it is if the worker is gone, if the team's quota has
// been used since the decision, or if the reservation would exceed the worker; the last case fires the
// assertion.
func (p *Placer) Reserve(v View, t Task, d Decision) (View, bool) {
	w, ok := v.Worker(d.Worker)
	if !ok {
		return v, false
	}
	if f := p.filter(v, &t); f.exceedsQuota(w.Zone) {
		return v, false
	}
	for _, id := range d.Victims {
		w, _ = w.WithoutTask(id)
	}
	w = w.WithTask(Held{Task: t})
	if !w.Reserved.FitsIn(w.Capacity) {
		p.violated("placement_capacity", fmt.Sprintf("task %s on worker %s: reserved %s, capacity %s",
			t.ID, w.ID, w.Reserved, w.Capacity))
		return v, false
	}
	return v.WithWorker(*w), true
}

// passed sums up one pass of the filters.
type passed struct {
	// fitsEmpty says that some worker could hold the task if it were empty.
	fitsEmpty bool
	// full counts the workers that only lack room.
	full int
	// inZone says that some worker is in a zone where the task may run. Without one nothing is known of
	// the sizes there, so the task waits.
	inZone bool
	// overQuota counts the workers in zones where the team's quota is reached.
	overQuota int
}

func (p *Placer) consider(v View, t *Task, found *options) passed {
	var pass passed
	f := p.filter(v, t)
	spread := v.replicasOf(t)
	tolerated := p.tolerated(&f)
	for _, w := range v.workers {
		why := f.reject(w)
		if why == "" && tolerated != nil && !tolerated[w.ID] {
			why = RejectedSlowdown
		}
		pass.inZone = pass.inZone || why != RejectedZone
		pass.fitsEmpty = pass.fitsEmpty || (why != RejectedZone && why != RejectedSize)
		switch why {
		case "":
		case RejectedCapacity:
			pass.full++
			found.reject(w, why)
			continue
		case RejectedQuota:
			pass.overQuota++
			found.reject(w, why)
			continue
		default:
			found.reject(w, why)
			continue
		}
		switch p.policy {
		case PolicyFirstFit:
			found.add(w, Score{})
			return pass
		case PolicyLeastLoaded:
			free := freeAfter(w, t)
			found.add(w, Score{Fit: free, Total: -free})
		default:
			found.add(w, p.score(w, t, spread))
		}
	}
	return pass
}

func (p *Placer) reason() Reason {
	switch p.policy {
	case PolicyFirstFit:
		return ReasonFirstFit
	case PolicyLeastLoaded:
		return ReasonLeastLoaded
	}
	return ReasonBestScore
}

func (d Decision) wait(why Reason) Decision {
	d.Reason = why
	return d
}

// filter holds what is the same for all workers of one pass.
type filter struct {
	// overQuota tells for each zone seen so far whether the task would exceed the team's quota there.
	overQuota map[string]bool
	placer    *Placer
	task      *Task
	view      View
}

func (p *Placer) filter(v View, t *Task) filter {
	return filter{overQuota: map[string]bool{}, placer: p, task: t, view: v}
}

// reject returns the first filter that excludes the worker, or the empty string.
func (f *filter) reject(w *Worker) Rejection {
	switch {
	case f.task.Zone != "" && f.task.Zone != w.Zone:
		return RejectedZone
	case !f.task.Resources.FitsIn(w.Capacity):
		return RejectedSize
	case f.task.OnlyWorker != "" && f.task.OnlyWorker != w.ID:
		return RejectedBound
	case w.IsLeaving():
		return RejectedLeaving
	case w.Quarantined:
		return RejectedQuarantine
	case slices.Contains(f.task.FailedOn, w.ID):
		return RejectedFailedThere
	case w.ClosedToBatch && !f.task.IsUrgent():
		return RejectedClosed
	case f.exceedsQuota(w.Zone):
		return RejectedQuota
	case !f.task.Resources.FitsIn(w.Free()):
		return RejectedCapacity
	}
	return ""
}

func (f *filter) exceedsQuota(zone string) bool {
	over, ok := f.overQuota[zone]
	if !ok {
		used := f.view.TeamReserved(f.task.Team, zone).Add(f.task.Resources)
		over = f.task.Team != "" && exceeds(used, f.placer.quota(f.task.Team))
		f.overQuota[zone] = over
	}
	return over
}
