package worker

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors that the client returns.
var (
	// ErrRefused says that the worker answered and did not act; the chain holds a Refusal.
	ErrRefused = eris.New("worker refused")
	// ErrStaleEpoch says that the worker knows a later epoch; such errors match ErrRefused too.
	ErrStaleEpoch = eris.New("stale epoch")
	// ErrTokenExpired says that the token is too old or of another boot; such errors match ErrRefused too.
	ErrTokenExpired = eris.New("worker token expired")
	// ErrUnknownOutcome says that something was sent and no valid answer came.
	ErrUnknownOutcome = eris.New("outcome at the worker is unknown")
	// ErrUnreachable says that nothing was sent.
	ErrUnreachable = eris.New("worker unreachable, nothing was sent")
)

// Reason says why a worker refused.
type Reason string

// Reasons of refusals.
const (
	ReasonInvalid          Reason = "invalid"
	ReasonLeaving          Reason = "leaving"
	ReasonNoCapacity       Reason = "no_capacity"
	ReasonNoFreeConnection Reason = "no_free_connection"
	ReasonNoFreeSlot       Reason = "no_free_slot"
	ReasonNoSuchService    Reason = "no_such_service"
	ReasonNoSuchTask       Reason = "no_such_task"
	// ReasonNotFenced refuses an epoch above the installed one: its owner has to fence first.
	ReasonNotFenced    Reason = "not_fenced"
	ReasonStaleAttempt Reason = "stale_attempt"
	ReasonStaleEpoch   Reason = "stale_epoch"
	ReasonTaskRunning  Reason = "task_running"
	ReasonTokenExpired Reason = "token_expired"
)

// Refusal is a worker's answer that it did not act; it is the body of the response and an error.
type Refusal struct {
	// Attempt is the last attempt of the task that the worker knows of, in refusals of a start.
	Attempt int64 `json:"attempt,omitempty"`
	// Epoch is the one installed on the worker.
	Epoch  int64  `json:"epoch"`
	Reason Reason `json:"reason"`
}

// Error names the reason and the epoch installed on the worker.
func (r Refusal) Error() string {
	return fmt.Sprintf("worker refused: %s, epoch at the worker is %d", r.Reason, r.Epoch)
}

// Is matches ErrRefused, and the sentinel error of the reason if it has one.
func (r Refusal) Is(target error) bool {
	switch target {
	case ErrRefused:
		return true
	case ErrStaleEpoch:
		return r.Reason == ReasonStaleEpoch
	case ErrTokenExpired:
		return r.Reason == ReasonTokenExpired
	}
	return false
}
