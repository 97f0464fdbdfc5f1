package caller

import (
	"io"
	"net/http"
	"time"
)

// Headers of the callers' interface.
const (
	// HeaderClaimedKey is the idempotency key that the forwarding entry host has claimed for the request; it is
	// honoured on the peer listener only.
	HeaderClaimedKey = "Laburnumridge-Claimed-Key"
	// HeaderForwardedBy is the id of the forwarding entry host; it is honoured on the peer listener only.
	HeaderForwardedBy = "Laburnumridge-Forwarded-By"
	HeaderKey         = "Idempotency-Key"
	// HeaderOutcome is done, not_run or unknown.
	HeaderOutcome   = "Laburnumridge-Outcome"
	HeaderReplayed  = "Idempotent-Replayed"
	HeaderRequestID = "Laburnumridge-Request-Id"
	HeaderTeam      = "Laburnumridge-Team"
	// HeaderTimeout is the remaining time for the request in milliseconds.
	HeaderTimeout = "Laburnumridge-Timeout-Ms"
	HeaderZone    = "Laburnumridge-Zone"
)

// Request is a caller's request to a service.
type Request struct {
	Arrived time.Time
	Body    []byte
	// ClaimedKey is the key that the forwarding entry host has claimed, so that this host may run the request.
	ClaimedKey string
	// Deadline is the time by which the response must be complete; zero for feeds.
	Deadline time.Time
	// ForwardedBy is the id of the entry host that forwarded the request; empty if the caller sent it to this host.
	ForwardedBy string
	Header      http.Header
	ID          string
	// Key is the caller's idempotency key, if any.
	Key     string
	Method  string
	Path    string
	Query   string
	Service string
	Team    string
}

// IsSafe reports whether the method is safe in the sense of RFC 9110: GET, HEAD or OPTIONS.
func (r Request) IsSafe() bool {
	return r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
}

// WithClaimedKey returns a copy of r with the given claimed key.
func (r Request) WithClaimedKey(key string) Request {
	r.ClaimedKey = key
	return r
}

// WithForwardedBy returns a copy of r that is marked as forwarded by the given entry host.
func (r Request) WithForwardedBy(host string) Request {
	r.ForwardedBy = host
	return r
}

// Response is the response of a backend server; the body of a feed is still being received.
type Response struct {
	Body   io.ReadCloser
	Header http.Header
	// Streams is true if the body must be flushed to the caller as it arrives.
	Streams bool
	Status  int
}
