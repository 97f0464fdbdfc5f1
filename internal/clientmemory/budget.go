package clientmemory

import (
	"errors"
	"sync"
	"time"
)

const (
	// freeShare limits what one client may hold to this multiple of what is left: a client alone gets three quarters, and one quarter
	// stays for others. With many clients each gets less.
	freeShare = 3
	// heavyShare is the part of the limit from which a client ends its own holds only.
	heavyShare = 4
	// stallTime is how long less than progressBytes must have arrived until a client counts as stalled. A body of 262,144 bytes that
	// arrives evenly within 3 s delivers 17 KB in this time.
	stallTime = 200 * time.Millisecond
	// progressBytes is the least number of bytes that counts as progress.
	progressBytes = 1 << 10
	// overshootShare is the part of the limit by which closed connections may exceed it until they have released their memory.
	overshootShare = 8
)

// Errors of a Hold. In both cases the request has not been received and must be refused.
var (
	// ErrShort is returned if the memory is used up, or the client's share of it.
	ErrShort = errors.New("too many bytes of requests are being received")
	// ErrStalled is returned if the hold was ended in favour of others, because its client delivered the least.
	ErrStalled = errors.New("the request stalled while memory was short")
)

// Budget bounds the bytes that are held for clients of one kind, together and for each client. A nil Budget has no limit.
type Budget struct {
	clients map[string]int64
	// held is what all holds have, including leaving, which is what the stalled holds have that were ended and still have to let go.
	held, leaving int64
	holds         map[*Hold]struct{}
	limit         int64
	mu            sync.Mutex
	now           func() time.Time
	report        *Reporter
}

// NewBudget returns a budget of limit bytes, which reports what it refuses. now is the clock.
func NewBudget(limit int64, report *Reporter, now func() time.Time) *Budget {
	return &Budget{clients: map[string]int64{}, holds: map[*Hold]struct{}{}, limit: limit, now: now, report: report}
}

// Open returns a hold of 0 bytes for a client. interrupt ends the receiving of its request; it is called at most once, must not block and
// must not call the budget.
func (b *Budget) Open(client string, interrupt func()) *Hold {
	h := &Hold{budget: b, client: client, interrupt: interrupt}
	if b != nil {
		h.progressAt = b.now()
	}
	return h
}

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// reserve adds bytes to a hold, and ends holds that have stalled if that is necessary. The caller holds b.mu.
func (b *Budget) reserve(h *Hold, bytes int64) error {
	if b.held+bytes > b.limit+b.limit/overshootShare {
		return ErrShort
	}
	for !b.fits(h.client, bytes) {
		victim := b.mostStalled(h, bytes)
		if victim == nil {
			return ErrShort
		}
		b.end(victim)
	}
	b.held += bytes
	b.clients[h.client] += bytes
	h.bytes += bytes
	b.holds[h] = struct{}{}
	return nil
}

// fits reports whether a client may hold further bytes. The caller holds b.mu.
func (b *Budget) fits(client string, bytes int64) bool {
	left := b.limit - (b.held - b.leaving) - bytes
	return left >= 0 && b.clients[client]+bytes <= freeShare*left
}

// mostStalled returns the hold that may be ended so that another one can have further bytes, and has made no progress for the longest time.
// It returns nil if none has stalled. The caller holds b.mu.
func (b *Budget) mostStalled(growing *Hold, bytes int64) *Hold {
	isHeavy := b.clients[growing.client]+bytes > b.limit/heavyShare
	var found *Hold
	latest := b.now().Add(-stallTime)
	for h := range b.holds {
		if isHeavy && h.client != growing.client {
			continue
		}
		if h != growing && !h.isReceived && !h.isEnded && !h.progressAt.After(latest) {
			found, latest = h, h.progressAt
		}
	}
	return found
}

// end interrupts a hold. The caller holds b.mu.
func (b *Budget) end(h *Hold) {
	h.isEnded = true
	b.leaving += h.bytes
	b.forget(h.client, h.bytes)
	h.interrupt()
	b.report.Add(ReasonStalled, h.client)
}

// release takes bytes from a hold. The caller holds b.mu.
func (b *Budget) release(h *Hold, bytes int64) {
	b.held -= bytes
	h.bytes -= bytes
	if h.isEnded {
		b.leaving -= bytes
	} else {
		b.forget(h.client, bytes)
	}
	if h.bytes == 0 {
		delete(b.holds, h)
	}
}

// forget takes bytes from what a client holds. The caller holds b.mu.
func (b *Budget) forget(client string, bytes int64) {
	if b.clients[client] -= bytes; b.clients[client] == 0 {
		delete(b.clients, client)
	}
}
