package shard

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Worker is what the registry says of a worker.
type Worker struct {
	Address string
	// Born is when the worker's lifetime began, in Unix milliseconds.
	Born     int64
	Capacity fleet.Resources
	Draining bool
	ID       string
	Labels   []string
	// Machine is the machine whose lifetime the worker is.
	Machine string
	Rack    string
	// Remaining is the least time until a draining worker leaves.
	Remaining time.Duration
	Service   string
	Zone      string
}

// HasLabel reports whether the worker carries the label; every worker carries the empty one.
func (w Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Order is what every call to a worker carries.
type Order struct {
	Address string
	Token   int64
	Worker  string
}

// Start asks a worker to start a run of a task.
type Start struct {
	Order
	Checkpoint string
	Job        string
	Key        workflow.TaskKey
	Run        int
	Spec       string
	Ticket     string
	// Until is the lease's end on the worker's clock, in milliseconds.
	Until int64
}

// Stop asks a worker to stop a run of a task and to refuse it from then on.
type Stop struct {
	Order
	Job    string
	Key    workflow.TaskKey
	Reason string
	Run    int
}

// Pace asks a worker to let a run work at a share of its speed.
type Pace struct {
	Order
	Job     string
	Key     workflow.TaskKey
	Percent int
	Run     int
}

// Look asks a worker what runs and what ended, and renews its lease.
type Look struct {
	Order
	// LastSeen is the newest end that is recorded; the worker forgets ends up to it.
	LastSeen int64
	Seq      int64
	// Until is the lease's end on the worker's clock, in milliseconds; 0 renews nothing.
	Until int64
	Wait  time.Duration
}

// RunningRow is a run that a worker lists.
type RunningRow struct {
	Checkpoint string
	// Figure is the tail latency in milliseconds of a long-running task, the processor use in thousandths of a
	// core of any other.
	Figure float64
	Job    string
	Key    workflow.TaskKey
	// Percent is the share of its speed at which the run may work.
	Percent int
	Run     int
}

// EndCause says how a run ended.
type EndCause string

// Causes of an end.
const (
	// EndAlone is the end of a gang's member that waited for the others too long.
	EndAlone EndCause = "alone"
	// EndBroken is the end of a gang's member because another one ended.
	EndBroken EndCause = "broken"
	EndDone   EndCause = "done"
	EndFailed EndCause = "failed"
	// EndLapsed is an end because the worker's lease ended.
	EndLapsed  EndCause = "lapsed"
	EndStopped EndCause = "stopped"
)

// EndRow is the end of a run that a worker lists until it may forget it.
type EndRow struct {
	Cause      EndCause
	Checkpoint string
	Job        string
	Key        workflow.TaskKey
	// Number counts the ends of the worker's lifetime from 1.
	Number int64
	Run    int
}

// Listing is a worker's answer to a look.
type Listing struct {
	Born int64
	// Clock is the worker's clock in milliseconds.
	Clock int64
	Ended []EndRow
	// Error tells more of a look that failed.
	Error   error
	Running []RunningRow
	// Truncated says that more ends are kept than the answer lists.
	Truncated bool
}

// Outcome is what is known after a call to a worker.
type Outcome int

// Outcomes of a call.
const (
	// OutcomeUnknown is a call without an answer: it may have been carried out, or may be later.
	OutcomeUnknown Outcome = iota
	OutcomeDone
	// OutcomeFenced is a refusal because the worker knows a higher token.
	OutcomeFenced
	// OutcomeGone is a refusal because another lifetime answered.
	OutcomeGone
	// OutcomeLate is a refusal because the lease had ended.
	OutcomeLate
	// OutcomeNoRoom is a refusal because the task does not fit.
	OutcomeNoRoom
	// OutcomeNoTicket is a refusal because the ticket is missing or no longer valid.
	OutcomeNoTicket
	// OutcomeNotSent says that the call did not reach the worker.
	OutcomeNotSent
	// OutcomeOld is a refusal because a run with this number or a higher one ended there.
	OutcomeOld
	// OutcomeRefused is a refusal of an unhealthy worker, which has done nothing.
	OutcomeRefused
)

// String returns the outcome as logs and metrics show it.
func (o Outcome) String() string {
	names := [...]string{
		OutcomeUnknown: "unknown", OutcomeDone: "done", OutcomeFenced: "fenced", OutcomeGone: "gone", OutcomeLate: "late",
		OutcomeNoRoom: "no_room", OutcomeNoTicket: "no_ticket", OutcomeNotSent: "not_sent", OutcomeOld: "old",
		OutcomeRefused: "refused",
	}
	if o < 0 || int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// Reply is the answer to an order; Clock is 0 if the worker did not tell it.
type Reply struct {
	Clock int64
	// Error tells more of a call that was not done.
	Error   error
	Outcome Outcome
}

// JobWrite is a record that is to be written, or a job whose end is to be written if Final is set.
type JobWrite struct {
	Final    workflow.State
	Job      string
	Progress []byte
	version  int
}

// Commit is a group of records to write together.
type Commit struct {
	Writes []JobWrite
	// recordedEnds holds the newest end of each worker that the records cover.
	recordedEnds map[string]int64
	// planned holds the attempts that may be started once the records are written.
	planned []*attempt
}

// Actions is what an owner wants done.
type Actions struct {
	Advises []Advise
	// Commit is nil if there is nothing to write or a write is not answered yet.
	Commit *Commit
	Looks  []Look
	Paces  []Pace
	Starts []Start
	Stops  []Stop
	// Wake is when Step is to be called again at the latest.
	Wake time.Time
}
