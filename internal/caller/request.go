package caller

import (
	"io"
	"net/http"
	"time"
)

// Headers of the callers' interface.
const (
	// HeaderClaimed carries the key that the host which passed a request on has claimed for it; like
	// HeaderForwarded it is honoured on the peer listener only.
	HeaderClaimed = "Laburnumridge-Claimed-Key"
	// HeaderForwarded marks a request that another entry host passed on; it is honoured on the peer listener only.
	HeaderForwarded = "Laburnumridge-Forwarded-By"
	HeaderKey       = "Idempotency-Key"
	// HeaderOutcome is done, not_run or unknown.
	HeaderOutcome   = "Laburnumridge-Outcome"
	HeaderReplayed  = "Idempotent-Replayed"
	HeaderRequestID = "Laburnumridge-Request-Id"
	HeaderTeam      = "Laburnumridge-Team"
	// HeaderTimeout is the time left for the request in milliseconds.
	HeaderTimeout = "Laburnumridge-Timeout-Ms"
	HeaderZone    = "Laburnumridge-Zone"
)

// Request is a caller's request to a service.
type Request struct {
	Arrived time.Time
	Body    []byte
	// ClaimedKey is the key that the host which passed the request on has claimed: this host may run it.
	ClaimedKey string
	// Deadline is when the response must be complete.
	Deadline time.Time
	// Forwarded names the entry host that passed the request on; empty if it came from the caller.
	Forwarded string
	Header    http.Header
	ID        string
	// Key is the idempotency key that the caller gave, if any.
	Key     string
	Method  string
	Path    string
	Query   string
	Service string
	Team    string
}

// IsSafe reports whether the method promises to change nothing.
func (r Request) IsSafe() bool {
	return r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
}

// WithClaimedKey returns a copy of r whose key has been claimed.
func (r Request) WithClaimedKey(key string) Request {
	r.ClaimedKey = key
	return r
}

// WithForwarded returns a copy of r that the given entry host passes on.
func (r Request) WithForwarded(host string) Request {
	r.Forwarded = host
	return r
}

// Response is the whole answer of a backend server, or the start of a feed.
type Response struct {
	Body   io.ReadCloser
	Header http.Header
	// Streams says that the body is passed on as it arrives.
	Streams bool
	Status  int
}
