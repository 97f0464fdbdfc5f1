package slots

import (
	"maps"
	"time"
)

// resendEvery is the number of rounds after which counts are listed again although the host has
// acknowledged them, so that a host that lost them recovers within 10 s.
const resendEvery = 20

// account is what the owner knows of one host: grants that it may hold and slots that it uses.
type account struct {
	acked    int64
	ackStamp Stamp
	// counts were last sent, and unchanged since the grant with sequence number countsSeq.
	counts    map[string]int
	countsSeq int64
	demand    map[string]float64
	hasAck    bool
	hasStamp  bool
	inUse     map[string]int
	// isGone says that the host receives no further grants; its account stays until nothing is held.
	isGone bool
	// lapsed holds counts of grants that ran out before a later report: requests begun under them
	// may still run.
	lapsed    map[string]int
	lapsedAt  time.Time
	lapsedSeq int64
	sent      []sentGrant
	stamp     Stamp
	target    map[string]int
}

type sentGrant struct {
	counts  map[string]int
	expires time.Time
	seq     int64
}

func newAccount() *account {
	return &account{
		demand: map[string]float64{}, inUse: map[string]int{},
		lapsed: map[string]int{}, target: map[string]int{},
	}
}

// grant records that counts are sent now and returns the grant's variable part.
func (a *account) grant(counts map[string]int, seq int64, expires time.Time) Grant {
	a.sent = append(a.sent, sentGrant{counts: counts, expires: expires, seq: seq})
	isSame := a.countsSeq > 0 && maps.Equal(counts, a.counts)
	if !isSame {
		a.counts, a.countsSeq = counts, seq
	}
	g := Grant{Seq: seq, Stamp: a.stamp}
	if isSame && a.acked >= a.countsSeq && seq%resendEvery != 0 {
		g.SameAs = a.countsSeq
	} else {
		g.Counts = maps.Clone(counts)
	}
	return g
}

// ack applies a report of the host under the owner's epoch.
func (a *account) ack(k Ack) {
	// An older report that arrives later may name fewer slots in use than a newer one.
	if k.Seq < a.acked || a.hasAck && k.Stamp <= a.ackStamp {
		return
	}
	a.ackStamp, a.hasAck = k.Stamp, true
	a.acked = k.Seq
	kept := a.sent[:0]
	for _, s := range a.sent {
		if s.seq >= k.Seq {
			kept = append(kept, s)
		}
	}
	a.sent = kept
	a.inUse = k.InUse
	// A report that was sent before the grant ran out may miss requests begun after it.
	if k.Seq > a.lapsedSeq || k.Expired && k.Seq == a.lapsedSeq {
		clear(a.lapsed)
	}
}

// expire moves grants that have run out to lapsed, and drops those once no request begun under
// them can still run.
func (a *account) expire(now time.Time, forget time.Duration) {
	kept := a.sent[:0]
	for _, s := range a.sent {
		if now.Before(s.expires) {
			kept = append(kept, s)
			continue
		}
		a.lapsedAt, a.lapsedSeq = s.expires, s.seq
		for backend, n := range s.counts {
			a.lapsed[backend] = max(a.lapsed[backend], n)
		}
	}
	a.sent = kept
	if forget > 0 && len(a.sent) == 0 && !now.Before(a.lapsedAt.Add(forget)) {
		clear(a.lapsed)
		clear(a.inUse)
	}
}

// held returns the most slots that the host may hold or use on a backend server.
func (a *account) held(backend string) int {
	return max(a.inUse[backend], a.granted(backend))
}

// granted returns the most slots that the host may take on a backend server, or had when a grant
// ran out.
func (a *account) granted(backend string) int {
	n := a.lapsed[backend]
	for _, s := range a.sent {
		n = max(n, s.counts[backend])
	}
	return n
}

// isEmpty reports whether the account holds nothing anywhere.
func (a *account) isEmpty() bool {
	if len(a.sent) > 0 {
		return false
	}
	for _, n := range a.inUse {
		if n > 0 {
			return false
		}
	}
	for _, n := range a.lapsed {
		if n > 0 {
			return false
		}
	}
	return true
}

// seen applies a worker's count of requests in flight, taken at a time.
func (a *account) seen(at time.Time, backend string, inFlight int) {
	if len(a.sent) > 0 || !at.After(a.lapsedAt) {
		return
	}
	for _, counts := range []map[string]int{a.lapsed, a.inUse} {
		if counts[backend] > inFlight {
			counts[backend] = inFlight
		}
	}
}
