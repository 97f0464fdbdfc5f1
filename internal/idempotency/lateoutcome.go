package idempotency

import "time"

// LateOutcome is how a request ended whose key was handed over while it ran.
type LateOutcome struct {
	// Epoch is that of the owner that ran the request. It distinguishes the request from a later one with the same key, which
	// another owner may run after the first was refused.
	Epoch int64  `json:"epoch"`
	Key   string `json:"key"`
	// Outcome is empty if the request was not run.
	Outcome Outcome `json:"outcome,omitempty"`
	// Response is nil if it was not kept.
	Response *Response `json:"response,omitempty"`
}

// AcceptLateOutcome records the outcome of a request that was running when its key was handed over to this owner. Outcomes of
// other requests are ignored. It returns false if the table is closed, so that a later owner has to be told.
func (t *Table) AcceptLateOutcome(o LateOutcome) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isClosed {
		return false
	}
	e := t.entries[o.Key]
	if e == nil || e.outcome != "" || e.runningUnder != o.Epoch {
		return true
	}
	if o.Outcome == "" {
		t.remove(e)
		return true
	}
	t.finish(e, o.Outcome, o.Response)
	return true
}

// lateOutcome returns what the next owner has to be told of a request that has ended, or nil if the table was not handed over
// while the request ran.
func (t *Table) lateOutcome(e *entry) *LateOutcome {
	if t.handedOverUnder == 0 {
		return nil
	}
	return &LateOutcome{Epoch: t.handedOverUnder, Key: e.key, Outcome: e.outcome, Response: e.response}
}

// expireRunning sets the outcome of a request that an earlier owner ran to unknown once that owner can no longer report it.
func (e *entry) expireRunning(now time.Time) {
	if e.outcome == "" && e.runningUnder != 0 && !now.Before(e.runningUntil) {
		e.outcome = OutcomeUnknown
	}
}
