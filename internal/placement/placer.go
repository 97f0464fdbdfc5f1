package placement

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Policy selects how a worker is chosen from those that pass the filters.
type Policy string

const (
	// PolicyFirstFit takes the first worker in id order. It serves as a baseline for comparisons.
	PolicyFirstFit Policy = "first_fit"
	// PolicyLeastLoaded takes the worker with the largest free fraction. It serves as a baseline for comparisons.
	PolicyLeastLoaded Policy = "least_loaded"
	// PolicyScore takes the worker with the lowest score. Only this policy evicts tasks.
	PolicyScore Policy = "score"
)

// Placer selects workers for tasks.
type Placer struct {
	evictionsLeft     func(t *Task) int
	policy            Policy
	quota             func(team string) fleet.Resources
	slowdown          func(w *Worker, t *Task) float64
	invariantViolated func(name, detail string)
}

// PlacerOption configures a Placer.
type PlacerOption func(*Placer)

// New returns a Placer. By default it uses PolicyScore without quotas, predicts no slowdown and evicts nothing.
func New(opts ...PlacerOption) *Placer {
	p := &Placer{
		evictionsLeft:     func(*Task) int { return 0 },
		policy:            PolicyScore,
		quota:             func(string) fleet.Resources { return fleet.Resources{} },
		invariantViolated: func(string, string) {},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// WithEvictionsLeft sets the function that returns how many evictions the budget still allows for a task.
func WithEvictionsLeft(left func(t *Task) int) PlacerOption {
	return func(p *Placer) { p.evictionsLeft = left }
}

// WithPolicy sets the policy of the Placer.
func WithPolicy(policy Policy) PlacerOption { return func(p *Placer) { p.policy = policy } }

// WithQuota sets the function that returns a team's quota per zone. A resource with the value 0 is unlimited.
func WithQuota(quota func(team string) fleet.Resources) PlacerOption {
	return func(p *Placer) { p.quota = quota }
}

// WithSlowdown sets the function that predicts the slowdown factor of the services on w after t is placed
// there; 1 means no slowdown.
func WithSlowdown(slowdown func(w *Worker, t *Task) float64) PlacerOption {
	return func(p *Placer) { p.slowdown = slowdown }
}

// WithViolationHandler sets the function that reports a violated invariant, such as a reservation that would exceed
// the capacity of a worker.
func WithViolationHandler(invariantViolated func(name, detail string)) PlacerOption {
	return func(p *Placer) { p.invariantViolated = invariantViolated }
}

// Place selects a worker for t. If no worker can take the task now, the decision holds the reason and the
// error matches ErrNoRoom, ErrNeverFits or ErrQuota.
func (p *Placer) Place(v View, t Task) (Decision, error) {
	var found candidateList
	summary := p.evaluateWorkers(v, &t, &found)
	d := Decision{Candidates: found.list(), Task: t.ID}
	if found.scoredCount > 0 {
		d.Reason, d.Worker = p.reason(), found.scored[0].Worker
		return d, nil
	}
	if summary.anyInZone && !summary.anyLargeEnough {
		return d.withReason(ReasonNeverFits), eris.Wrapf(ErrNeverFits, "task %s (%s)", t.ID, t.Resources)
	}
	reason := ReasonNoRoom
	if p.policy == PolicyScore && t.IsUrgent() && summary.lackCapacity > 0 {
		chosen, ok := p.cheapestEviction(v, &t)
		if ok {
			d.Reason, d.Worker, d.Victims = ReasonEviction, chosen.worker, chosen.victimIDs()
			return d, nil
		}
		if chosen.budgetSpent {
			reason = ReasonNoEvictionBudget
		}
	}
	if summary.overQuota > 0 && summary.lackCapacity == 0 {
		return d.withReason(ReasonQuota), eris.Wrapf(ErrQuota, "task %s of team %s", t.ID, t.Team)
	}
	return d.withReason(reason), eris.Wrapf(ErrNoRoom, "task %s", t.ID)
}

// Reserve applies a decision to the view. It returns the view unchanged and false if the worker no longer
// exists, if the team's quota has been used up since the decision, or if the reservation would exceed the
// capacity of the worker. The last case is reported as an invariant violation.
func (p *Placer) Reserve(v View, t Task, d Decision) (View, bool) {
	w, ok := v.Worker(d.Worker)
	if !ok {
		return v, false
	}
	if f := p.newFilter(v, &t); f.exceedsQuota(w.Zone) {
		return v, false
	}
	for _, id := range d.Victims {
		w, _ = w.WithoutTask(id)
	}
	w = w.WithTask(PlacedTask{Task: t})
	if !w.Reserved.FitsIn(w.Capacity) {
		p.invariantViolated("placement_capacity", fmt.Sprintf("task %s on worker %s: reserved %s, capacity %s",
			t.ID, w.ID, w.Reserved, w.Capacity))
		return v, false
	}
	return v.WithWorker(*w), true
}

// filterSummary is the result of applying the filters to all workers.
type filterSummary struct {
	// anyLargeEnough is set if the total capacity of at least one worker suffices for the task.
	anyLargeEnough bool
	// lackCapacity counts the workers that pass all other filters but have too little free capacity.
	lackCapacity int
	// anyInZone is set if at least one worker is in a zone where the task may run. Without one the capacity of
	// the workers there is unknown, so the task waits instead of being declared too large.
	anyInZone bool
	// overQuota counts the workers that are excluded because the task would exceed the team's quota in their zone.
	overQuota int
}

// evaluateWorkers filters and scores all workers and adds them to found.
func (p *Placer) evaluateWorkers(v View, t *Task, found *candidateList) filterSummary {
	var summary filterSummary
	f := p.newFilter(v, t)
	existing := v.replicasOf(t)
	acceptable := p.workersWithAcceptableSlowdown(&f)
	for _, w := range v.workers {
		why := f.reject(w)
		if why == "" && acceptable != nil && !acceptable[w.ID] {
			why = RejectedSlowdown
		}
		summary.anyInZone = summary.anyInZone || why != RejectedZone
		summary.anyLargeEnough = summary.anyLargeEnough || (why != RejectedZone && why != RejectedTooSmall)
		switch why {
		case "":
		case RejectedCapacity:
			summary.lackCapacity++
			found.addRejected(w, why)
			continue
		case RejectedQuota:
			summary.overQuota++
			found.addRejected(w, why)
			continue
		default:
			found.addRejected(w, why)
			continue
		}
		switch p.policy {
		case PolicyFirstFit:
			found.addScored(w, Score{})
			return summary
		case PolicyLeastLoaded:
			free := freeFractionAfter(w, t)
			found.addScored(w, Score{FreeFraction: free, Total: -free})
		default:
			found.addScored(w, p.score(w, t, existing))
		}
	}
	return summary
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

func (d Decision) withReason(why Reason) Decision {
	d.Reason = why
	return d
}

// filter decides for one task which workers are excluded.
type filter struct {
	// overQuota caches by zone whether the task would exceed the team's quota there.
	overQuota map[string]bool
	placer    *Placer
	task      *Task
	view      View
}

func (p *Placer) newFilter(v View, t *Task) filter {
	return filter{overQuota: map[string]bool{}, placer: p, task: t, view: v}
}

// reject returns the reason of the first filter that excludes the worker, or "" if none does.
func (f *filter) reject(w *Worker) Rejection {
	switch {
	case f.task.Zone != "" && f.task.Zone != w.Zone:
		return RejectedZone
	case !f.task.Resources.FitsIn(w.Capacity):
		return RejectedTooSmall
	case f.task.OnlyWorker != "" && f.task.OnlyWorker != w.ID:
		return RejectedBoundElsewhere
	case w.IsLeaving():
		return RejectedLeaving
	case w.Quarantined:
		return RejectedQuarantine
	case slices.Contains(f.task.FailedOn, w.ID):
		return RejectedFailedThere
	case w.ClosedToBatch && !f.task.IsUrgent():
		return RejectedClosedToBatch
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
