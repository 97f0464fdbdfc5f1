package idempotency

import (
	"time"
)

// HandoverEntry is the record of one key that an owner hands over to the next one.
type HandoverEntry struct {
	ExpiresAt   time.Time   `json:"expires_at"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Key         string      `json:"key"`
	Outcome     Outcome     `json:"outcome"`
	// Response is nil if it was not kept or exceeded the size limit of the handover.
	Response *Response `json:"response,omitempty"`
	// RunningUnder is the epoch of the owner that still runs the request and reports its LateOutcome, and RunningUntil when
	// the request ends at the latest. Both are zero for a request that has ended. Outcome is OutcomeUnknown meanwhile.
	RunningUnder int64     `json:"running_under,omitempty"`
	RunningUntil time.Time `json:"running_until,omitzero"`
}

// Close makes the table refuse all further claims and returns the number of requests that this owner is still running.
func (t *Table) Close() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isClosed = true
	running := 0
	for _, e := range t.entries {
		if e.outcome == "" && e.runningUnder == 0 {
			running++
		}
	}
	return running
}

// HandOver closes the table and returns the records of its keys for the next owner, most recent claim first.
// It adds the responses that fit into maxBytes. Requests that are still running have an unknown outcome. Keys
// minted before completeSince may be missing; a zero time means that none is.
func (t *Table) HandOver(maxBytes int) (handed []HandoverEntry, completeSince time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handOver(maxBytes, 0, time.Time{})
}

// HandOverWhileServing is like HandOver, except that requests which still run are handed over as running: those of this owner
// under its epoch and until runningUntil at the latest. Finish and Release return their outcomes, to be reported to the next owner.
func (t *Table) HandOverWhileServing(
	maxBytes int, epoch int64, runningUntil time.Time,
) (handed []HandoverEntry, completeSince time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handedOverUnder = epoch
	return t.handOver(maxBytes, epoch, runningUntil)
}

func (t *Table) handOver(maxBytes int, epoch int64, runningUntil time.Time) ([]HandoverEntry, time.Time) {
	t.isClosed = true
	out := make([]HandoverEntry, 0, len(t.entries))
	for el := t.order.Back(); el != nil; el = el.Prev() {
		e := el.Value.(*entry)
		h := HandoverEntry{ExpiresAt: e.expiresAt, Fingerprint: e.fingerprint, Key: e.key, Outcome: e.outcome}
		switch {
		case e.outcome != "":
		case e.runningUnder != 0:
			h.Outcome, h.RunningUnder, h.RunningUntil = OutcomeUnknown, e.runningUnder, e.runningUntil
		default:
			h.Outcome, h.RunningUnder, h.RunningUntil = OutcomeUnknown, epoch, runningUntil
		}
		if e.response != nil && e.bytes <= maxBytes {
			h.Response = e.response
			maxBytes -= e.bytes
		}
		out = append(out, h)
	}
	return out, t.completeSince()
}

// CanHandOver reports whether the table may be handed over. It may not before the time is known from which the table is complete,
// since an earlier owner may have claimed any key that is missing.
func (t *Table) CanHandOver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lease.servesFrom.IsZero()
}

// IsClosed reports whether Close or HandOver has closed the table.
func (t *Table) IsClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isClosed
}

// AcceptHandover adds the records that the previous owner handed over, with the time from which its table was complete.
// Without an earlier owner there are no records and the time is zero. No other owner can claim keys any longer, so the
// table serves without waiting for a claim lease to expire.
func (t *Table) AcceptHandover(now time.Time, handed []HandoverEntry, completeSince time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inheritedCompleteSince = &completeSince
	t.lease.servesFrom = now
	for i := len(handed) - 1; i >= 0; i-- {
		h := handed[i]
		e := &entry{
			bytes: entryOverheadBytes + len(h.Key), expiresAt: h.ExpiresAt, fingerprint: h.Fingerprint, key: h.Key,
			outcome: h.Outcome, response: h.Response,
		}
		if h.RunningUnder != 0 {
			e.outcome, e.runningUnder, e.runningUntil = "", h.RunningUnder, h.RunningUntil
		}
		if h.Response != nil {
			e.bytes += len(h.Response.Body)
		}
		e.element = t.order.PushBack(e)
		t.entries[e.key] = e
		t.bytes += e.bytes
	}
}
