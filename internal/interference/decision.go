package interference

// Step is the mitigation in force on a worker; each step includes the ones below it.
type Step int

// Steps of mitigation.
const (
	StepNone Step = iota
	// StepThrottle slows the tasks of the work that slows a service down most.
	StepThrottle
	// StepClosed admits no new batch task.
	StepClosed
	// StepEvict checkpoints and evicts the tasks of the work that slows a service down most.
	StepEvict
)

// String returns the step as it is logged.
func (s Step) String() string {
	switch s {
	case StepThrottle:
		return "throttle"
	case StepClosed:
		return "closed"
	case StepEvict:
		return "evict"
	}
	return "none"
}

// Kind is the kind of a decision.
type Kind string

// Kinds of decisions.
const (
	KindHold  Kind = "hold"
	KindRaise Kind = "raise"
	KindUndo  Kind = "undo"
)

// Reason says why a decision came out as it did.
type Reason string

// Reasons of decisions.
const (
	ReasonBetween     Reason = "between_thresholds"
	ReasonNoBatch     Reason = "no_batch_beside_the_service"
	ReasonNoBudget    Reason = "eviction_budget_spent"
	ReasonNoSamples   Reason = "no_samples"
	ReasonOneSample   Reason = "one_slow_sample"
	ReasonPending     Reason = "last_step_not_in_effect"
	ReasonQuiet       Reason = "quiet"
	ReasonRepeated    Reason = "sample_already_used"
	ReasonSlow        Reason = "slow"
	ReasonStale       Reason = "sample_precedes_last_step"
	ReasonUnconfirmed Reason = "last_step_unconfirmed"
	ReasonUnknown     Reason = "slowdown_unknown"
)

// Decision is what to do on a worker.
type Decision struct {
	Kind   Kind   `json:"kind"`
	Reason Reason `json:"reason"`
	// Seq numbers the steps of a worker. A step that is decided again keeps its number and must not evict
	// more tasks than the first time.
	Seq      int64   `json:"seq,omitempty"`
	Service  string  `json:"service,omitempty"`
	Slowdown float64 `json:"slowdown,omitempty"`
	// Step is the step in force after the decision.
	Step Step `json:"step"`
	// Tasks is the number of tasks of Work to evict, those with the least work to lose first.
	Tasks int `json:"tasks,omitempty"`
	// Work is the batch work that slows the service down most.
	Work   string `json:"work,omitempty"`
	Worker string `json:"worker"`
}

func hold(worker string, step Step, why Reason) Decision {
	return Decision{Kind: KindHold, Reason: why, Step: step, Worker: worker}
}
