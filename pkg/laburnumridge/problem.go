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
	// ErrConflict is returned if an item or request conflicts with another one.
	ErrConflict = eris.New("conflict")
	// ErrInvalid is returned if a request is malformed or too large.
	ErrInvalid = eris.New("invalid")
	// ErrNotFound is returned if there is nothing with the given name or id.
	ErrNotFound = eris.New("not found")
	// ErrNotRun is returned if the request did not run and nothing was changed.
	ErrNotRun = eris.New("not run")
	// ErrUnauthorized is returned if the token is missing or wrong.
	ErrUnauthorized = eris.New("unauthorized")
	// ErrUnavailable is returned if an entry host, or a service that it depends on, can't be reached or is overloaded.
	ErrUnavailable = eris.New("unavailable")
	// ErrUnknown is returned if the request may or may not have run.
	ErrUnknown = eris.New("outcome unknown")
)

// Outcome is whether a request ran.
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
	// Reason is a machine-readable name of the cause, such as store_unavailable.
	Reason string `json:"reason,omitempty"`
	// RetryAfter is the number of seconds after which a retry may succeed; 0 if none is given.
	RetryAfter int `json:"retry_after,omitempty"`
	// Status is the HTTP status, or 0 if no response was received.
	Status int    `json:"status,omitempty"`
	Title  string `json:"title,omitempty"`
	Type   string `json:"type,omitempty"`

	cause error
	// unreached is true if no connection to the entry host could be opened.
	unreached bool
	// untrusted is true if the certificate of the entry host was rejected.
	untrusted bool
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

// Is reports whether target is the package's error for the outcome or the status.
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
	return (p.isTemporary() || p.unreached) && target == ErrUnavailable
}

// Unwrap returns the transport error, if no response was received.
func (p *Problem) Unwrap() error { return p.cause }

// canRetry reports whether another attempt is safe and may succeed. repeatable is true if the request may be sent again
// although it may have run.
func (p *Problem) canRetry(repeatable bool) bool {
	switch p.Outcome {
	case OutcomeNotRun:
		return p.isTemporary()
	case OutcomeUnknown:
		// An entry host answers 409 with an unknown outcome if a request with the same key is still running.
		return repeatable && (p.isTemporary() || p.Status == http.StatusConflict)
	}
	return false
}

// isTemporary reports whether another attempt may succeed: no response was received (Status 0), or an entry host or load balancer
// was overloaded or unavailable. A rejected certificate stays rejected.
func (p *Problem) isTemporary() bool {
	if p.untrusted {
		return false
	}
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
