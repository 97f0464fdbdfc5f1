package admission

import "time"

// Request is a request that asks for a slot.
type Request struct {
	Arrived time.Time
	// Deadline is when the response must be complete; zero means never.
	Deadline time.Time
	ID       string
	Kind     string
	Team     string
}

// Verdict is what happens to a request.
type Verdict string

// Verdicts.
const (
	VerdictAdmitted Verdict = "admitted"
	VerdictQueued   Verdict = "queued"
	VerdictRefused  Verdict = "refused"
)

// Reason says why a request was refused.
type Reason string

// Reasons for refusals.
const (
	// ReasonDeadline says that the predicted wait ends too late.
	ReasonDeadline Reason = "deadline"
	// ReasonDuplicate says that a request with the same id is queued or running.
	ReasonDuplicate Reason = "duplicate"
	// ReasonExpired says that the request waited until its deadline came too near.
	ReasonExpired Reason = "expired_in_queue"
	// ReasonQueueFull says that the queue of the kind and team, or all queues together, are full.
	ReasonQueueFull Reason = "queue_full"
)

// Decision is the verdict on a request; a refused request did not run.
type Decision struct {
	Reason Reason
	// RetryAfter is when a refused request has better prospects.
	RetryAfter time.Duration
	Verdict    Verdict
	// Wait is the predicted wait of a request that was queued or refused.
	Wait time.Duration
}

// Outcome is the decision on a request that was queued.
type Outcome struct {
	Decision
	Request Request
}

// Result is how an admitted request ended.
type Result int

// Results; only the service times of ResultOK are learned from.
const (
	ResultCancelled Result = iota
	ResultFailed
	ResultOK
	ResultRefused
)
