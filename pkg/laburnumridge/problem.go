package laburnumridge

import (
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
)

// ProblemType is the media type of problem details (RFC 9457).
const ProblemType = "application/problem+json"

// Errors that a Problem matches.
var (
	// ErrConflict says that an item or request collides with another one.
	ErrConflict = eris.New("conflict")
	// ErrInvalid says that a request is malformed.
	ErrInvalid = eris.New("invalid")
	// ErrNotFound says that nothing has the given name or id.
	ErrNotFound = eris.New("not found")
	// ErrNotRun says that the work did not run and nothing was changed.
	ErrNotRun = eris.New("not run")
	// ErrUnauthorized says that the token is missing or wrong.
	ErrUnauthorized = eris.New("unauthorized")
	// ErrUnavailable says that an entry host or a service that it needs can't be reached.
	ErrUnavailable = eris.New("unavailable")
	// ErrUnknown says that the work may or may not have run.
	ErrUnknown = eris.New("outcome unknown")
)

// Outcome says whether the work of a request ran.
type Outcome string

// Outcomes of a request.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// Problem is the error of a request, as RFC 9457 problem details.
type Problem struct {
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Reason is a short name of the cause for programs, such as store_unavailable.
	Reason string `json:"reason,omitempty"`
	// RetryAfter is the time in whole seconds after which a repetition makes sense; 0 means not given.
	RetryAfter int `json:"retry_after,omitempty"`
	// Status is the HTTP status, or 0 if there was no answer.
	Status int    `json:"status,omitempty"`
	Title  string `json:"title,omitempty"`
	Type   string `json:"type,omitempty"`

	cause     error
	unreached bool
}

// Error returns the title, detail and outcome.
func (p *Problem) Error() string {
	text := p.Title
	if p.Detail != "" {
		text = fmt.Sprintf("%s: %s", text, p.Detail)
	}
	if p.Outcome != "" {
		text = fmt.Sprintf("%s (%s)", text, p.Outcome)
	}
	return text
}

// Is reports whether the status or the outcome stands for one of the package's errors.
func (p *Problem) Is(target error) bool {
	switch target {
	case ErrNotRun:
		return p.Outcome == OutcomeNotRun
	case ErrUnknown:
		return p.Outcome == OutcomeUnknown
	}
	switch p.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return target == ErrInvalid
	case http.StatusUnauthorized, http.StatusForbidden:
		return target == ErrUnauthorized
	case http.StatusNotFound:
		return target == ErrNotFound
	case http.StatusConflict:
		return target == ErrConflict
	}
	return p.isTemporary() && target == ErrUnavailable
}

// Unwrap returns the error of the connection, if there was no answer.
func (p *Problem) Unwrap() error { return p.cause }

// canRetry reports whether another attempt may succeed and can do no harm.
func (p *Problem) canRetry(repeatable bool) bool {
	switch p.Outcome {
	case OutcomeNotRun:
		return p.isTemporary()
	case OutcomeUnknown:
		// 409 with an unknown outcome is a duplicate of a request that still runs.
		return repeatable && (p.isTemporary() || p.Status == http.StatusConflict)
	}
	return false
}

func (p *Problem) isTemporary() bool {
	switch p.Status {
	case 0, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable,
		http.StatusGatewayTimeout:
		return true
	}
	return false
}

// withOutcome returns a copy of p with another outcome.
func (p *Problem) withOutcome(o Outcome) *Problem {
	out := *p
	out.Outcome = o
	return &out
}
