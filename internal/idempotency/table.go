package idempotency

import (
	"container/list"
	"net/http"
	"sync"
	"time"
)

// entryBytes is about what an entry takes apart from its key and response.
const entryBytes = 300

// Limits bounds a table and the keys that it serves.
type Limits struct {
	// ClaimLease is how long the consent of a worker lasts from the sending of the heartbeat.
	ClaimLease time.Duration
	// ClockTolerance is how far clocks of hosts and callers may be apart.
	ClockTolerance time.Duration
	MaxBytes       int
	MaxEntries     int
	// MaxResponse is the largest response body that is kept, in bytes.
	MaxResponse int
	// Window is how long a key is served after it was minted.
	Window time.Duration
}

// DefaultLimits returns the limits of the design; the table stays below a quarter of a host's 128 MB.
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

// Outcome is how a request ended as far as its caller is told.
type Outcome string

// Outcomes of a request that was sent.
const (
	OutcomeDone    Outcome = "done"
	OutcomeUnknown Outcome = "unknown"
)

// Response is a complete response.
type Response struct {
	Body   []byte
	Header http.Header
	Status int
}

// Verdict says what to do with a request that carries a key.
type Verdict string

// Verdicts of Claim.
const (
	// VerdictHandingOver: the table was handed over; the next owner decides.
	VerdictHandingOver Verdict = "handing_over"
	// VerdictMismatch: the key belongs to another request (422).
	VerdictMismatch Verdict = "mismatch"
	// VerdictNotRun: the request was not run and may be repeated.
	VerdictNotRun Verdict = "not_run"
	// VerdictProceed: the key is claimed; the caller runs the request and then calls Finish or Release.
	VerdictProceed Verdict = "proceed"
	// VerdictReplay: the request ran and its response is at hand.
	VerdictReplay Verdict = "replay"
	// VerdictRunning: the request is running (409).
	VerdictRunning Verdict = "running"
	// VerdictUnknown: the request may have run.
	VerdictUnknown Verdict = "unknown"
)

// Claim is the decision on a request that carries a key.
type Claim struct {
	Reason   string
	Response Response
	Verdict  Verdict
}

type entry struct {
	bytes       int
	element     *list.Element
	expiresAt   time.Time
	fingerprint Fingerprint
	key         string
	outcome     Outcome
	response    *Response
}

// Table holds the keys that one owner of a shard claimed in one epoch. It is safe for concurrent use.
type Table struct {
	bytes int
	// closed says that the table was handed over.
	closed  bool
	entries map[string]*entry
	// inherited is the time since which the table of the last owner is complete, if it was handed over.
	inherited *time.Time
	lease     claimLease
	limits    Limits
	mu        sync.Mutex
	// order holds the entries in the order of their claims.
	order *list.List
}

// NewTable returns the table of a new owner.
func NewTable(limits Limits) *Table {
	return &Table{
		entries: map[string]*entry{},
		lease: claimLease{
			accepted: map[string]time.Time{}, limits: limits, noEpochs: map[string]bool{},
		},
		limits: limits,
		order:  list.New(),
	}
}

// Claim decides on a request and claims its key if the verdict is to proceed.
func (t *Table) Claim(now time.Time, k Key, f Fingerprint) Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return Claim{Verdict: VerdictHandingOver, Reason: "the owner hands its keys over"}
	}
	if e := t.entries[k.text]; e != nil {
		return e.claim(f)
	}
	if c, ok := t.refuse(now, k); ok {
		return c
	}
	t.forget(now)
	size := entryBytes + len(k.text)
	if len(t.entries) >= t.limits.MaxEntries || t.bytes+size > t.limits.MaxBytes {
		return Claim{Verdict: VerdictNotRun, Reason: "key table is full"}
	}
	last := now
	if k.MintedAt.After(now) {
		last = k.MintedAt
	}
	e := &entry{
		bytes: size, expiresAt: last.Add(t.limits.Window + t.limits.ClockTolerance), fingerprint: f, key: k.text,
	}
	e.element = t.order.PushBack(e)
	t.entries[k.text] = e
	t.bytes += size
	return Claim{Verdict: VerdictProceed}
}

// Finish records how the claimed request ended; a response that does not fit is not kept.
func (t *Table) Finish(k Key, outcome Outcome, r Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k.text]
	if e == nil || e.outcome != "" {
		return
	}
	e.outcome = outcome
	size := len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if outcome == OutcomeDone && len(r.Body) <= t.limits.MaxResponse && t.bytes+size <= t.limits.MaxBytes {
		e.response = &r
		e.bytes += size
		t.bytes += size
	}
}

// Len returns the number of entries and about how many bytes they take.
func (t *Table) Len() (entries, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries), t.bytes
}

// Release gives up the claim of a request that the worker refused before running it.
func (t *Table) Release(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[k.text]; e != nil && e.outcome == "" {
		t.remove(e)
	}
}

func (e *entry) claim(f Fingerprint) Claim {
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

// forget drops expired entries; running ones stay.
func (t *Table) forget(now time.Time) {
	for range t.order.Len() {
		e := t.order.Front().Value.(*entry)
		if now.Before(e.expiresAt) {
			return
		}
		if e.outcome == "" {
			t.order.MoveToBack(e.element)
			continue
		}
		t.remove(e)
	}
}

// refuse returns the decision on a key that is not in the table and must not be claimed.
func (t *Table) refuse(now time.Time, k Key) (Claim, bool) {
	unknown := func(reason string) (Claim, bool) {
		return Claim{Verdict: VerdictUnknown, Reason: reason}, true
	}
	if k.MintedAt.Sub(now) > t.limits.ClockTolerance {
		return Claim{Verdict: VerdictNotRun, Reason: "key has a time in the future"}, true
	}
	from := t.lease.servesFrom
	if from.IsZero() || now.Before(from) {
		return unknown("an earlier owner may have run the request")
	}
	since := t.since()
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

// since is the time from which keys were minted that no earlier owner can have claimed unknown to the table;
// zero means all. An earlier owner's clock and a caller's may each be off by the tolerance.
func (t *Table) since() time.Time {
	if t.inherited != nil {
		return *t.inherited
	}
	return t.lease.servesFrom.Add(2 * t.limits.ClockTolerance)
}

func (t *Table) remove(e *entry) {
	t.order.Remove(e.element)
	delete(t.entries, e.key)
	t.bytes -= e.bytes
}
