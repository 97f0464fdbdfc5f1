package idempotency

import (
	"container/list"
	"net/http"
	"sync"
	"time"
)

// entryOverheadBytes is the approximate size of an entry without its key and response.
const entryOverheadBytes = 300

// Limits bounds the size of a table, the age of the keys that it accepts, and the time for which an owner may claim keys
// without hearing from workers.
type Limits struct {
	// ClaimLease is how long a worker's acceptance of the owner's epoch counts, from the sending of the fence or
	// heartbeat that the worker accepted. The owner may claim keys while the acceptance of a majority counts.
	ClaimLease time.Duration
	// ClockTolerance is the maximum difference between clocks of hosts and callers.
	ClockTolerance time.Duration
	MaxBytes       int
	MaxEntries     int
	// MaxResponse is the size in bytes of the largest response body that is kept.
	MaxResponse int
	// Window is how long a key may be claimed after it was minted.
	Window time.Duration
}

// DefaultLimits returns the default limits. MaxBytes keeps a table within a quarter of the 128 MB of memory that the
// scheduler may use on a host.
func DefaultLimits() Limits {
	return Limits{
		ClaimLease:     3 * time.Second,
		ClockTolerance: 2 * time.Second,
		MaxBytes:       32 << 20,
		MaxEntries:     50_000,
		MaxResponse:    64 << 10,
		Window:         10 * time.Minute,
	}
}

// Outcome is how a request ended, as reported to its caller.
type Outcome string

// Outcomes of a request that was sent to a worker.
const (
	OutcomeDone    Outcome = "done"
	OutcomeUnknown Outcome = "unknown"
)

// Response is a complete response to a request.
type Response struct {
	Body   []byte
	Header http.Header
	Status int
}

// Verdict says what to do with a request that carries a key.
type Verdict string

// Verdicts of Claim.
const (
	// VerdictHandingOver: the table is closed for a handover; the next owner decides.
	VerdictHandingOver Verdict = "handing_over"
	// VerdictMismatch: the key belongs to another request (422).
	VerdictMismatch Verdict = "mismatch"
	// VerdictNotRun: the request was not run and may be repeated.
	VerdictNotRun Verdict = "not_run"
	// VerdictProceed: the key is claimed; the caller runs the request and then calls Finish or Release.
	VerdictProceed Verdict = "proceed"
	// VerdictReplay: the request ran; its stored response is the answer.
	VerdictReplay Verdict = "replay"
	// VerdictRunning: the request is running (409).
	VerdictRunning Verdict = "running"
	// VerdictUnknown: the request may have run.
	VerdictUnknown Verdict = "unknown"
)

// Claim is the decision on a request that carries a key, as returned by Table.Claim.
type Claim struct {
	Reason   string
	Response Response
	Verdict  Verdict
}

// entry is the record of a claimed key.
type entry struct {
	bytes       int
	element     *list.Element
	expiresAt   time.Time
	fingerprint Fingerprint
	key         string
	// outcome is empty while the request is running.
	outcome  Outcome
	response *Response
	// runningUnder is the epoch of the earlier owner that still ran the request when it handed the key over; zero for a
	// request that this owner runs. That request has ended by runningUntil.
	runningUnder int64
	runningUntil time.Time
}

// Table holds the keys that the owner of a shard claimed in its epoch, and those that the previous owner handed over.
// It is safe for concurrent use.
type Table struct {
	bytes int
	// isClosed is set by Close and HandOver; a closed table refuses all claims.
	isClosed bool
	entries  map[string]*entry
	// handedOverUnder is the epoch passed to HandOverWhileServing, after which the next owner has to be told how running
	// requests end; else zero.
	handedOverUnder int64
	// inheritedCompleteSince is the time passed to AcceptHandover, from which the previous owner's table was complete;
	// zero if there was no earlier owner, nil if AcceptHandover was not called.
	inheritedCompleteSince *time.Time
	lease                  claimLease
	limits                 Limits
	mu                     sync.Mutex
	// order holds the entries in the order in which they were claimed, except that removeExpired moves those of running
	// requests to the back.
	order *list.List
}

// NewTable returns an empty table for a new owner.
func NewTable(limits Limits) *Table {
	return &Table{
		entries: map[string]*entry{},
		lease: claimLease{
			acceptedSentAt: map[string]time.Time{}, limits: limits, withoutEpochs: map[string]bool{},
		},
		limits: limits,
		order:  list.New(),
	}
}

// Claim decides on a request, and claims its key if the verdict is VerdictProceed.
func (t *Table) Claim(now time.Time, k Key, f Fingerprint) Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isClosed {
		return Claim{Verdict: VerdictHandingOver, Reason: "the owner hands its keys over"}
	}
	if e := t.entries[k.text]; e != nil {
		e.expireRunning(now)
		return e.decideRepeat(f)
	}
	if c, ok := t.refuseUnclaimed(now, k); ok {
		return c
	}
	t.removeExpired(now)
	size := entryOverheadBytes + len(k.text)
	if len(t.entries) >= t.limits.MaxEntries || t.bytes+size > t.limits.MaxBytes {
		return Claim{Verdict: VerdictNotRun, Reason: "key table is full"}
	}
	windowStart := now
	if k.MintedAt.After(now) {
		windowStart = k.MintedAt
	}
	e := &entry{
		bytes: size, expiresAt: windowStart.Add(t.limits.Window + t.limits.ClockTolerance), fingerprint: f, key: k.text,
	}
	e.element = t.order.PushBack(e)
	t.entries[k.text] = e
	t.bytes += size
	return Claim{Verdict: VerdictProceed}
}

// Finish records how the request that claimed the key ended. A response that exceeds the limits is not kept. If the key was
// handed over while the request ran, Finish returns what the next owner has to be told; else nil.
func (t *Table) Finish(k Key, outcome Outcome, r Response) *LateOutcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k.text]
	if e == nil || e.outcome != "" {
		return nil
	}
	t.finish(e, outcome, &r)
	return t.lateOutcome(e)
}

func (t *Table) finish(e *entry, outcome Outcome, r *Response) {
	e.outcome = outcome
	if outcome != OutcomeDone || r == nil {
		return
	}
	size := len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if len(r.Body) <= t.limits.MaxResponse && t.bytes+size <= t.limits.MaxBytes {
		e.response = r
		e.bytes += size
		t.bytes += size
	}
}

// Size returns the number of entries and their approximate size in bytes.
func (t *Table) Size() (entries, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries), t.bytes
}

// Release removes the claim of a request that a worker refused before running it. Like Finish, it returns what the next owner
// has to be told, if there is one.
func (t *Table) Release(k Key) *LateOutcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k.text]
	if e == nil || e.outcome != "" {
		return nil
	}
	t.remove(e)
	return t.lateOutcome(e)
}

// decideRepeat returns the decision on a request whose key was claimed before.
func (e *entry) decideRepeat(f Fingerprint) Claim {
	switch {
	case e.fingerprint != f:
		return Claim{Verdict: VerdictMismatch, Reason: "key belongs to another request"}
	case e.outcome == "":
		return Claim{Verdict: VerdictRunning, Reason: "request is running"}
	case e.response != nil:
		return Claim{Verdict: VerdictReplay, Response: *e.response}
	case e.outcome == OutcomeDone:
		return Claim{Verdict: VerdictUnknown, Reason: "request is done, its response was too large to keep"}
	}
	return Claim{Verdict: VerdictUnknown, Reason: "outcome of the first request is unknown"}
}

// removeExpired removes expired entries from the front of the order, except those of running requests. It stops at the
// first entry that has not expired; expired ones behind it remain until a later call, as entries expire only roughly in
// this order.
func (t *Table) removeExpired(now time.Time) {
	for range t.order.Len() {
		e := t.order.Front().Value.(*entry)
		if now.Before(e.expiresAt) {
			return
		}
		e.expireRunning(now)
		if e.outcome == "" {
			t.order.MoveToBack(e.element)
			continue
		}
		t.remove(e)
	}
}

// refuseUnclaimed returns the decision that refuses a key which is not in the table, and true; or false if the key may be
// claimed.
func (t *Table) refuseUnclaimed(now time.Time, k Key) (Claim, bool) {
	unknown := func(reason string) (Claim, bool) {
		return Claim{Verdict: VerdictUnknown, Reason: reason}, true
	}
	if k.MintedAt.Sub(now) > t.limits.ClockTolerance {
		return Claim{Verdict: VerdictNotRun, Reason: "key has a time in the future"}, true
	}
	servesFrom := t.lease.servesFrom
	if servesFrom.IsZero() || now.Before(servesFrom) {
		return unknown("an earlier owner may have run the request")
	}
	since := t.completeSince()
	if k.MintedAt.IsZero() {
		if !since.IsZero() && now.Before(since.Add(t.limits.Window)) {
			return unknown("key has no time, and an earlier owner may have run the request")
		}
	} else if k.MintedAt.Before(since) {
		return unknown("key was minted before this owner took over")
	} else if now.Sub(k.MintedAt) > t.limits.Window {
		return unknown("key is too old")
	}
	if !t.lease.mayClaim(now) {
		return unknown("a later owner may have run the request")
	}
	return Claim{}, false
}

// completeSince returns the time from which the table is complete: a key minted at or after it is in the table if
// an earlier owner claimed it. Zero means that the table is complete for all keys. Without a handover it is
// servesFrom plus twice the clock tolerance, because the clocks of an earlier owner and of a caller may each be off
// by the tolerance.
func (t *Table) completeSince() time.Time {
	if t.inheritedCompleteSince != nil {
		return *t.inheritedCompleteSince
	}
	return t.lease.servesFrom.Add(2 * t.limits.ClockTolerance)
}

func (t *Table) remove(e *entry) {
	t.order.Remove(e.element)
	delete(t.entries, e.key)
	t.bytes -= e.bytes
}
