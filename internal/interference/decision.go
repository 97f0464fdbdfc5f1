package interference

// Step is the level of mitigation on a worker. Each step includes the lower ones.
type Step int

const (
	// StepNone mitigates nothing.
	StepNone Step = iota
	// StepThrottle throttles the tasks of the batch work that slows a service down most.
	StepThrottle
	// StepClosed also closes the worker to new batch tasks.
	StepClosed
	// StepEvict also checkpoints and evicts tasks of the batch work that slows a service down most.
	StepEvict
)

// String returns the name of the step for logs.
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

const (
	// KindHold keeps the step.
	KindHold Kind = "hold"
	// KindRaise goes to the next higher step, or repeats StepEvict.
	KindRaise Kind = "raise"
	// KindUndo goes to the next lower step.
	KindUndo Kind = "undo"
)

// Reason is the reason for a decision.
type Reason string

// Reasons for decisions.
const (
	ReasonBetweenThresholds Reason = "between_thresholds"
	ReasonNoBatch           Reason = "no_batch_beside_the_service"
	ReasonNoBudget          Reason = "eviction_budget_spent"
	ReasonNoSamples         Reason = "no_samples"
	ReasonTooFewSlowSamples Reason = "one_slow_sample"
	ReasonPending           Reason = "last_step_not_in_effect"
	ReasonQuiet             Reason = "quiet"
	ReasonRepeated          Reason = "sample_already_used"
	ReasonSlow              Reason = "slow"
	ReasonStale             Reason = "sample_precedes_last_step"
	ReasonUnconfirmed       Reason = "last_step_unconfirmed"
	ReasonUnknown           Reason = "slowdown_unknown"
)

// Decision is a change of the mitigation step on a worker, or the decision to keep it.
type Decision struct {
	Kind   Kind   `json:"kind"`
	Reason Reason `json:"reason"`
	// Seq is the sequence number of the step on the worker. A step that is issued again keeps its number and must not
	// evict more tasks than the first time.
	Seq      int64   `json:"seq,omitempty"`
	Service  string  `json:"service,omitempty"`
	Slowdown float64 `json:"slowdown,omitempty"`
	// Step is the step that applies after the decision.
	Step Step `json:"step"`
	// Tasks is the number of tasks of Work to evict, starting with those that lose the least run time.
	Tasks int `json:"tasks,omitempty"`
	// Work is the batch work that slows Service down most.
	Work   string `json:"work,omitempty"`
	Worker string `json:"worker"`
}

func hold(worker string, step Step, reason Reason) Decision {
	return Decision{Kind: KindHold, Reason: reason, Step: step, Worker: worker}
}
