package slots

import (
	"maps"
	"time"
)

// resendRounds is the number of rounds after which all counts are sent again although the host has
// acknowledged them, so that a host that lost them recovers within 10 s.
const resendRounds = 20

// hostState is the owner's view of one entry host: the grants that it may hold and the slots that it
// uses.
type hostState struct {
	// ackedSeq and ackStamp are the sequence number and the stamp of the latest ack. For a new host, ackStamp is the
	// stamp up to which acks are ignored.
	ackedSeq int64
	ackStamp Stamp
	// counts are the last counts sent, unchanged since the grant with sequence number countsSeq.
	counts          map[string]int
	countsSeq       int64
	demandByService map[string]float64
	hasAck          bool
	hasStamp        bool
	inUse           map[string]int
	// removeWhenUnused is set for a host that receives no further grants. Its state is removed once it
	// holds no slots.
	removeWhenUnused bool
	// expired holds the counts of grants that expired without a later report of the host; requests
	// started under them may still be running.
	expired map[string]int
	// expiredAt and expiredSeq are the expiry and the sequence number of the last expired grant.
	expiredAt  time.Time
	expiredSeq int64
	// outstanding are the grants that the host may hold: sent, not expired and not replaced by a grant
	// that the host has acknowledged.
	outstanding []outstandingGrant
	stamp       Stamp
	// target is the number of slots on each backend server that the host is to receive once other hosts
	// have given them up.
	target map[string]int
}

type outstandingGrant struct {
	counts  map[string]int
	expires time.Time
	seq     int64
}

func newHostState() *hostState {
	return &hostState{
		demandByService: map[string]float64{}, inUse: map[string]int{},
		expired: map[string]int{}, target: map[string]int{},
	}
}

// recordGrant records that the counts are sent under the sequence number and returns a grant with its
// counts, sequence number and stamp. The caller fills in the other fields.
func (h *hostState) recordGrant(counts map[string]int, seq int64, expires time.Time) Grant {
	h.outstanding = append(h.outstanding, outstandingGrant{counts: counts, expires: expires, seq: seq})
	isSame := h.countsSeq > 0 && maps.Equal(counts, h.counts)
	if !isSame {
		h.counts, h.countsSeq = counts, seq
	}
	g := Grant{Seq: seq, Stamp: h.stamp}
	if isSame && h.ackedSeq >= h.countsSeq && seq%resendRounds != 0 {
		g.RenewedSeq = h.countsSeq
	} else {
		g.Counts = maps.Clone(counts)
	}
	return g
}

// applyAck applies a report that the host sent under the owner's epoch.
func (h *hostState) applyAck(ack Ack) {
	// A report that was overtaken by a newer one may list fewer slots in use.
	if ack.Seq < h.ackedSeq || h.hasAck && ack.Stamp <= h.ackStamp {
		return
	}
	h.ackStamp, h.hasAck = ack.Stamp, true
	h.ackedSeq = ack.Seq
	kept := h.outstanding[:0]
	for _, grant := range h.outstanding {
		if grant.seq >= ack.Seq {
			kept = append(kept, grant)
		}
	}
	h.outstanding = kept
	h.inUse = ack.InUse
	// A report that was sent before the grant expired may miss requests started after the report.
	if ack.Seq > h.expiredSeq || ack.Expired && ack.Seq == h.expiredSeq {
		clear(h.expired)
	}
}

// expire moves the counts of expired grants to expired, and clears them once no request started under
// those grants can still be running. A maxRequest of zero means that request times are unbounded.
func (h *hostState) expire(now time.Time, maxRequest time.Duration) {
	kept := h.outstanding[:0]
	for _, grant := range h.outstanding {
		if now.Before(grant.expires) {
			kept = append(kept, grant)
			continue
		}
		h.expiredAt, h.expiredSeq = grant.expires, grant.seq
		for backend, n := range grant.counts {
			h.expired[backend] = max(h.expired[backend], n)
		}
	}
	h.outstanding = kept
	if maxRequest > 0 && len(h.outstanding) == 0 && !now.Before(h.expiredAt.Add(maxRequest)) {
		clear(h.expired)
		clear(h.inUse)
	}
}

// held returns the upper bound of the slots that the host holds or uses on a backend server.
func (h *hostState) held(backend string) int {
	return max(h.inUse[backend], h.granted(backend))
}

// granted returns the upper bound of the slots that the host's grants allow it to take on a backend
// server, including expired grants under which requests may still be running.
func (h *hostState) granted(backend string) int {
	n := h.expired[backend]
	for _, grant := range h.outstanding {
		n = max(n, grant.counts[backend])
	}
	return n
}

// holdsNothing reports whether the host neither holds nor uses slots on any backend server.
func (h *hostState) holdsNothing() bool {
	if len(h.outstanding) > 0 {
		return false
	}
	for _, n := range h.inUse {
		if n > 0 {
			return false
		}
	}
	for _, n := range h.expired {
		if n > 0 {
			return false
		}
	}
	return true
}

// applyWorkerCount lowers the host's expired and reported use on a backend server to a worker's count
// of requests in flight. It ignores a count taken while the host could still start requests.
func (h *hostState) applyWorkerCount(at time.Time, backend string, inFlight int) {
	if len(h.outstanding) > 0 || !at.After(h.expiredAt) {
		return
	}
	for _, counts := range []map[string]int{h.expired, h.inUse} {
		if counts[backend] > inFlight {
			counts[backend] = inFlight
		}
	}
}
