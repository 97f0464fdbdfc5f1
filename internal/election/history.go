package election

import "time"

const (
	// rejoinMemory is how long a host has to stay for its next return not to count as a rejoin.
	rejoinMemory = time.Minute
	// sharedReturnSpan is the time within which hosts that lost their power, their zone or the store together come back.
	sharedReturnSpan = time.Second
	// sharedReturnHosts is the number of hosts from which returns in that span count as shared. Two hosts that are restarted
	// one after the other are fewer.
	sharedReturnHosts = 3
)

// History is what an observer remembers of a host while its records come, change and go.
type History struct {
	// changedAt is when the host came or the shards that it owns changed last.
	changedAt time.Time
	// earlierRejoins is the number of rejoins before the last return, which was at returnedAt.
	earlierRejoins int
	// hasMissedHandover is set if the host did not take a shard that was handed to it since it joined.
	hasMissedHandover bool
	incarnation       string
	isGone            bool
	joinedAt          time.Time
	rejoins           int
	returnedAt        time.Time
}

// WithRecord returns the history after the record of a process of the host was seen.
func (h History) WithRecord(now time.Time, incarnation string) History {
	if h.incarnation == incarnation && !h.isGone {
		return h
	}
	next := History{changedAt: now, incarnation: incarnation, joinedAt: now}
	if h.incarnation != "" && now.Sub(h.joinedAt) < rejoinMemory {
		next.earlierRejoins, next.rejoins, next.returnedAt = h.rejoins, h.rejoins+1, now
		if h.hasMissedHandover {
			next.rejoins = h.rejoins // the host was failing by then, which counts once
		}
	}
	return next
}

// SharedReturns returns the new histories of hosts whose last return does not count as a rejoin, since several hosts made one
// at the same time: the cause was outside of these hosts, and shards must not wait for them because of it.
func SharedReturns(now time.Time, histories map[string]History) map[string]History {
	shared := map[string]History{}
	for host, h := range histories {
		if !h.returnedAt.IsZero() && now.Sub(h.returnedAt) < sharedReturnSpan {
			h.rejoins = h.earlierRejoins
			shared[host] = h
		}
	}
	if len(shared) < sharedReturnHosts {
		return nil
	}
	return shared
}

// WithRecordGone returns the history after the host's record was deleted.
func (h History) WithRecordGone() History {
	h.isGone = true
	return h
}

// WithOwnershipChange returns the history after the shards that the host owns have changed.
func (h History) WithOwnershipChange(now time.Time) History {
	h.changedAt = now
	return h
}

// WithMissedHandover returns the history after the host did not take a shard that was handed to it. It counts like a
// rejoin, so that the shard is not handed to the host over and over.
func (h History) WithMissedHandover(now time.Time) History {
	h = h.WithFailedHandover(now)
	h.hasMissedHandover = true
	return h
}

// WithFailedHandover returns the history after the host did not get one of its shards handed over, because the store did not
// carry it out. It counts like a rejoin, so that the shard is not without an acting owner over and over.
func (h History) WithFailedHandover(now time.Time) History {
	h.changedAt, h.joinedAt, h.rejoins, h.returnedAt = now, now, h.rejoins+1, time.Time{}
	return h
}

// WithFailedLoad returns the history after the host gave a shard up because it could not load it. It counts like a rejoin, so that the
// host is not given shards over and over that nobody serves meanwhile.
func (h History) WithFailedLoad(now time.Time) History { return h.WithFailedHandover(now) }

// IsForgettable reports whether the host is gone and its return would not count as a rejoin.
func (h History) IsForgettable(now time.Time) bool {
	return h.isGone && now.Sub(h.joinedAt) >= rejoinMemory
}

// Member returns the host with this history as a member.
func (h History) Member(now time.Time, c Candidate) Member {
	m := Member{Candidate: c, KnownFor: now.Sub(h.joinedAt), StableFor: now.Sub(h.changedAt)}
	if now.Sub(h.joinedAt) < rejoinMemory {
		m.Rejoins = h.rejoins
	}
	return m
}
