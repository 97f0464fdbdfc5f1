package idempotency

import (
	"time"
)

// Handed is a key that an owner hands over to the next one.
type Handed struct {
	ExpiresAt   time.Time   `json:"expires_at"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Key         string      `json:"key"`
	Outcome     Outcome     `json:"outcome"`
	// Response is left out if it was not kept or did not fit.
	Response *Response `json:"response,omitempty"`
}

// Close ends all claims and returns the number of requests that still run.
func (t *Table) Close() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	running := 0
	for _, e := range t.entries {
		if e.outcome == "" {
			running++
		}
	}
	return running
}

// HandOver ends all claims and returns the keys for the next owner, the latest first, with responses up to a
// number of bytes. Requests that still run are returned with an unknown outcome. Keys minted before since may
// be missing; it is zero if none is.
func (t *Table) HandOver(maxBytes int) (handed []Handed, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	out := make([]Handed, 0, len(t.entries))
	for el := t.order.Back(); el != nil; el = el.Prev() {
		e := el.Value.(*entry)
		h := Handed{ExpiresAt: e.expiresAt, Fingerprint: e.fingerprint, Key: e.key, Outcome: e.outcome}
		if e.outcome == "" {
			h.Outcome = OutcomeUnknown
		}
		if e.response != nil && e.bytes <= maxBytes {
			h.Response = e.response
			maxBytes -= e.bytes
		}
		out = append(out, h)
	}
	return out, t.since()
}

// IsHandedOver reports whether HandOver has ended all claims.
func (t *Table) IsHandedOver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// Inherit takes what the last owner handed over, or nothing if there was no earlier owner. Nobody else can
// claim a key, so the table serves at once.
func (t *Table) Inherit(now time.Time, handed []Handed, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inherited = &since
	t.lease.servesFrom = now
	for i := len(handed) - 1; i >= 0; i-- {
		h := handed[i]
		e := &entry{
			bytes: entryBytes + len(h.Key), expiresAt: h.ExpiresAt, fingerprint: h.Fingerprint, key: h.Key,
			outcome: h.Outcome, response: h.Response,
		}
		if h.Response != nil {
			e.bytes += len(h.Response.Body)
		}
		e.element = t.order.PushBack(e)
		t.entries[e.key] = e
		t.bytes += e.bytes
	}
}
