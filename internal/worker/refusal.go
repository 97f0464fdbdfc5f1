package worker

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors that the client returns.
var (
	// ErrRefused is returned if the worker refused the call and did nothing; the error chain contains a Refusal unless
	// the worker gave no reason.
	ErrRefused = eris.New("worker refused")
	// ErrStaleEpoch is returned if a higher epoch is installed on the worker; such errors match ErrRefused too.
	ErrStaleEpoch = eris.New("stale epoch")
	// ErrTokenExpired is returned if the token is too old or from another boot; such errors match ErrRefused too.
	ErrTokenExpired = eris.New("worker token expired")
	// ErrUnknownOutcome is returned if the request was at least partly sent and no valid response arrived.
	ErrUnknownOutcome = eris.New("outcome at the worker is unknown")
	// ErrUnreachable is returned if nothing was sent.
	ErrUnreachable = eris.New("worker unreachable, nothing was sent")
)

// Reason is the reason of a refusal.
type Reason string

// Reasons for which a worker refuses a call.
const (
	ReasonInvalid          Reason = "invalid"
	ReasonLeaving          Reason = "leaving"
	ReasonNoCapacity       Reason = "no_capacity"
	ReasonNoFreeConnection Reason = "no_free_connection"
	ReasonNoFreeSlot       Reason = "no_free_slot"
	ReasonNoSuchService    Reason = "no_such_service"
	ReasonNoSuchTask       Reason = "no_such_task"
	// ReasonNotFenced refuses an epoch above the installed one: its owner must call Client.Fence first.
	ReasonNotFenced    Reason = "not_fenced"
	ReasonStaleAttempt Reason = "stale_attempt"
	ReasonStaleEpoch   Reason = "stale_epoch"
	ReasonTaskRunning  Reason = "task_running"
	ReasonTokenExpired Reason = "token_expired"
)

// Refusal is the response body of a call that the worker refused without acting on it. It is also an error.
type Refusal struct {
	// Attempt is the latest attempt of the task that the worker knows; set in refusals of a start.
	Attempt int64 `json:"attempt,omitempty"`
	// Epoch is the epoch installed on the worker.
	Epoch  int64  `json:"epoch"`
	Reason Reason `json:"reason"`
}

// Error returns the reason and the epoch installed on the worker.
func (r Refusal) Error() string {
	return fmt.Sprintf("worker refused: %s, epoch at the worker is %d", r.Reason, r.Epoch)
}

// Is reports whether target is ErrRefused or the sentinel error of the reason, if there is one.
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
