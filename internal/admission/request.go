package admission

import "time"

// Request is a request that asks for a slot.
type Request struct {
	Arrived time.Time
	// Deadline is when the response must be complete; zero means no deadline.
	Deadline time.Time
	ID       string
	Service  string
	Team     string
}

// Verdict says whether a request is admitted, queued or refused.
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
	// ReasonDeadline says that the request would miss its deadline after the predicted wait.
	ReasonDeadline Reason = "deadline"
	// ReasonDuplicate says that a request with the same id is queued or running.
	ReasonDuplicate Reason = "duplicate"
	// ReasonExpired says that the request waited until it could no longer meet its deadline.
	ReasonExpired Reason = "expired_in_queue"
	// ReasonQueueFull says that the queue of the service and team, or all queues together, are full.
	ReasonQueueFull Reason = "queue_full"
)

// Decision is the verdict on a request; a refused request did not run.
type Decision struct {
	Reason Reason
	// RetryAfter is the time after which a refused request is worth repeating.
	RetryAfter time.Duration
	Verdict    Verdict
	// Wait is the predicted wait of a request that was queued or refused.
	Wait time.Duration
}

// Outcome is the final decision on a request that was queued.
type Outcome struct {
	Decision
	Request Request
}

// Result is how an admitted request ended.
type Result int

// Results of admitted requests. Only those with ResultOK update the service-time estimates.
const (
	ResultCancelled Result = iota
	ResultFailed
	ResultOK
	ResultRefused
)
