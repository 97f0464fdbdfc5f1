package clientmemory

import "time"

// Hold is what a budget has granted for one request or message. Its methods may be called by one goroutine at a time; the budget ends it
// from others.
type Hold struct {
	budget *Budget
	client string
	// delivered is the number of bytes that have arrived since the last progress.
	delivered int
	interrupt func()

	// The rest is guarded by budget.mu.
	bytes   int64
	isEnded bool
	// isReceived is set once the request is complete and the client owes nothing.
	isReceived bool
	progressAt time.Time
}

// Grow reserves further bytes. Errors match ErrShort or ErrStalled.
func (h *Hold) Grow(bytes int64) error {
	b := h.budget
	if b == nil || bytes <= 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.isEnded {
		return ErrStalled
	}
	return b.reserve(h, bytes)
}

// Resize changes the reservation to the given number of bytes. Errors match ErrShort or ErrStalled; they leave it as it is.
func (h *Hold) Resize(bytes int64) error {
	b := h.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case bytes <= h.bytes:
		b.release(h, h.bytes-bytes)
		return nil
	case h.isEnded:
		return ErrStalled
	}
	return b.reserve(h, bytes-h.bytes)
}

// Deliver records that bytes have arrived from the client.
func (h *Hold) Deliver(bytes int) {
	h.delivered += bytes
	if h.budget == nil || h.delivered < progressBytes {
		return
	}
	h.delivered = 0
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progressAt = h.budget.now()
}

// Receive records that the request is complete. It returns ErrStalled if the hold was ended before; after that it no longer is.
func (h *Hold) Receive() error {
	if h.budget == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.isEnded {
		return ErrStalled
	}
	h.isReceived = true
	return nil
}

// Release releases all bytes. The hold may be used again for the client's next request, unless it was ended.
func (h *Hold) Release() {
	if h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.release(h, h.bytes)
	h.isReceived, h.progressAt = false, h.budget.now()
}

// Close releases all bytes and ends the hold. Unlike the other methods it may be called at any time.
func (h *Hold) Close() {
	if h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.release(h, h.bytes)
	h.isEnded = true
}

// Refuse counts a refusal of this client for the reason that an error of the hold gives. Stalled holds are counted when they are ended.
func (h *Hold) Refuse(reason Reason) {
	if h.budget != nil {
		h.budget.report.Add(reason, h.client)
	}
}
