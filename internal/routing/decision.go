package routing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoBackend reports that no candidate can take the request now. Nothing was sent.
var ErrNoBackend = eris.New("no backend server available")

// Reason says why a backend server was chosen or rejected.
type Reason string

// Reasons for a choice.
const (
	ReasonFewestInFlight Reason = "fewest_in_flight"
	ReasonLowerScore     Reason = "lower_score"
	ReasonNextInTurn     Reason = "next_in_turn"
	ReasonOnlyCandidate  Reason = "only_candidate"
	ReasonProbe          Reason = "probe"
)

// Reasons for rejecting a candidate.
const (
	ReasonCircuitOpen Reason = "circuit_open"
	// ReasonCold says that the server has few latency samples and as many requests in flight as it may have until then.
	ReasonCold     Reason = "cold"
	ReasonExcluded Reason = "excluded"
	ReasonLeaving  Reason = "leaving"
	ReasonNoSlot   Reason = "no_slot"
	// ReasonProbing says that the server is recovering and a probe is in flight.
	ReasonProbing  Reason = "probing"
	ReasonRefusing Reason = "refusing"
)

// Decision is the backend server chosen for a request, with the reason.
type Decision struct {
	Backend Backend
	// Options are the candidates that were compared, the chosen one first.
	Options []Option
	Policy  Policy
	Reason  Reason
}

// Option is a candidate that was compared, with its score. A lower score is better.
type Option struct {
	Score  float64
	Worker string
}

// Rejection says why a candidate could not take the request.
type Rejection struct {
	Reason Reason
	Worker string
}

// NoBackendError lists the reason for rejecting each candidate. It matches ErrNoBackend.
type NoBackendError struct {
	Rejections []Rejection
	// RetryAfter is the time until a candidate may take requests again; zero means unknown.
	RetryAfter time.Duration
}

// Error gives the number of candidates per reason, so that its length does not grow with the fleet.
func (e *NoBackendError) Error() string {
	counts := map[Reason]int{}
	for _, r := range e.Rejections {
		counts[r.Reason]++
	}
	parts := []string{fmt.Sprintf("%s among %d", ErrNoBackend, len(e.Rejections))}
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, counts[reason]))
	}
	return strings.Join(parts, " ")
}

// Unwrap returns ErrNoBackend.
func (e *NoBackendError) Unwrap() error { return ErrNoBackend }
