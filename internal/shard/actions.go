package shard

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Worker describes a worker as the registry lists it.
type Worker struct {
	Address string
	// Born is when the current lifetime of the worker began, in Unix milliseconds. It changes with each restart.
	Born     int64
	Capacity fleet.Resources
	// ColdRemaining is for how long the worker is still slow after its start, at the time of the registry entry.
	ColdRemaining time.Duration
	Draining      bool
	ID            string
	Labels        []string
	// Machine identifies the machine across restarts of the worker.
	Machine string
	Rack    string
	// Remaining is the minimum time until a draining worker leaves.
	Remaining time.Duration
	Service   string
	Zone      string
}

// HasLabel reports whether the worker has the label. Every worker has the empty label.
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

// Order holds the fields that all calls to a worker share.
type Order struct {
	Address string
	// Born is the lifetime of the worker that the order is meant for, as far as the owner knows. The worker can't tell: it may carry the
	// order out in a later lifetime.
	Born   int64
	Token  int64
	Worker string
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
	// Until is the end of the lease on the worker's clock, in milliseconds.
	Until int64
}

// WithOrder returns the start with other fields of its order.
func (s Start) WithOrder(o Order) Start {
	s.Order = o
	return s
}

// Stop asks a worker to stop a run of a task, and to refuse to start that run from then on.
type Stop struct {
	Order
	Job    string
	Key    workflow.TaskKey
	Reason string
	Run    int
}

// WithOrder returns the stop with other fields of its order.
func (s Stop) WithOrder(o Order) Stop {
	s.Order = o
	return s
}

// Pace asks a worker to limit a run to a percentage of full speed.
type Pace struct {
	Order
	Job     string
	Key     workflow.TaskKey
	Percent int
	Run     int
}

// WithOrder returns the change of pace with other fields of its order.
func (p Pace) WithOrder(o Order) Pace {
	p.Order = o
	return p
}

// Poll polls a worker for its running and ended runs, and renews its lease.
type Poll struct {
	Order
	// LastSeen is the number of the newest end that is durably recorded. The worker may forget ends up to it.
	LastSeen int64
	Seq      int64
	// Until is the end of the lease on the worker's clock, in milliseconds; 0 leaves the lease unchanged.
	Until int64
	// Wait is how long the worker may delay its answer until a task ends.
	Wait time.Duration
	// omitsAcknowledgement is set if LastSeen leaves out recorded ends because the worker's last answer is too old.
	omitsAcknowledgement bool
}

// RunningRow is a running run in a worker's listing.
type RunningRow struct {
	Checkpoint string
	// Measurement is the latest measurement: the tail latency in milliseconds of a long-running task, the CPU use in
	// thousandths of a core of any other.
	Measurement float64
	Job         string
	Key         workflow.TaskKey
	// Percent is the speed limit of the run, in percent of full speed.
	Percent int
	Run     int
}

// EndCause says how a run ended.
type EndCause string

// Causes of an end.
const (
	// EndGangTimeout means that a member of a gang gave up waiting for the others to start.
	EndGangTimeout EndCause = "alone"
	// EndGangBroken means that a member of a gang ended because another member did.
	EndGangBroken EndCause = "broken"
	EndDone       EndCause = "done"
	EndFailed     EndCause = "failed"
	// EndLeaseExpired means that the worker's lease expired.
	EndLeaseExpired EndCause = "lapsed"
	EndStopped      EndCause = "stopped"
)

// EndRow is an ended run, which a worker lists until it is acknowledged.
type EndRow struct {
	Cause      EndCause
	Checkpoint string
	Job        string
	Key        workflow.TaskKey
	// Number counts the ends since the start of the worker's lifetime, from 1.
	Number int64
	Run    int
}

// Listing is a worker's answer to a poll.
type Listing struct {
	Born int64
	// Clock is the worker's clock in milliseconds.
	Clock int64
	Ended []EndRow
	// Error holds the details of a failed poll.
	Error   error
	Running []RunningRow
	// Truncated is set if the worker has more ends than the answer lists.
	Truncated bool
}

// Outcome is the result of a call to a worker.
type Outcome int

// Outcomes of a call.
const (
	// OutcomeUnknown: there was no answer. The call may have been executed, or may still be executed late.
	OutcomeUnknown Outcome = iota
	OutcomeDone
	// OutcomeFenced: the worker refused the call because it knows a higher token.
	OutcomeFenced
	// OutcomeWorkerRestarted: the call was refused because the worker has restarted since.
	OutcomeWorkerRestarted
	// OutcomeLeaseExpired: the worker refused the call because its lease had expired.
	OutcomeLeaseExpired
	// OutcomeNoRoom: the worker refused the start for lack of resources.
	OutcomeNoRoom
	// OutcomeNoTicket: the worker refused the start because the ticket was missing or no longer valid.
	OutcomeNoTicket
	// OutcomeNotSent: the call did not reach the worker.
	OutcomeNotSent
	// OutcomeOldRun: the worker refused the start because a run of the task with this or a higher number ended there.
	OutcomeOldRun
	// OutcomeRefused: an unhealthy worker refused the call and did nothing.
	OutcomeRefused
)

// String returns the outcome as it appears in logs and metrics.
func (o Outcome) String() string {
	names := [...]string{
		OutcomeUnknown: "unknown", OutcomeDone: "done", OutcomeFenced: "fenced", OutcomeWorkerRestarted: "gone", OutcomeLeaseExpired: "late",
		OutcomeNoRoom: "no_room", OutcomeNoTicket: "no_ticket", OutcomeNotSent: "not_sent", OutcomeOldRun: "old",
		OutcomeRefused: "refused",
	}
	if o < 0 || int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// Reply is the answer to an order. Clock is 0 if the worker did not report its clock.
type Reply struct {
	Clock int64
	// Error holds the details of a call that was not executed.
	Error   error
	Outcome Outcome
}

// JobWrite is a progress record to write. If Final is set, the final state of the job is written, and Progress is nil unless the records keep
// something of the ended job for a while.
type JobWrite struct {
	Final    workflow.State
	Job      string
	Progress []byte
	// Record is the job's own record if it has to be written with the progress, or nil.
	Record []byte
	// Shared is nil unless tasks of the job have moved between shards.
	Shared  *SharedWrite
	version int
}

// Commit is a group of records to write together.
type Commit struct {
	Writes []JobWrite
	// oldest is when the first of the changes in Writes was made.
	oldest time.Time
	// planned holds the attempts that may be started once the records are written.
	planned []*attempt
}

// Actions are the actions that an owner wants carried out.
type Actions struct {
	AdviceRequests []AdviceRequest
	// Commit is nil if there is nothing to write, or while an earlier commit is unanswered.
	Commit *Commit
	Polls  []Poll
	Paces  []Pace
	Starts []Start
	Stops  []Stop
	// Wake is the latest time at which Step has to be called again.
	Wake time.Time
}
