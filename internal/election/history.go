package election

import "time"

// rejoinMemory is how long a host has to stay for its next return not to count as a rejoin.
const rejoinMemory = time.Minute

// History is what an observer remembers of a host while its records come, change and go.
type History struct {
	// changedAt is when the host came or the shards that it owns changed last.
	changedAt   time.Time
	incarnation string
	isGone      bool
	joinedAt    time.Time
	rejoins     int
}

// WithRecord returns the history after the record of a process of the host was seen.
func (h History) WithRecord(now time.Time, incarnation string) History {
	if h.incarnation == incarnation && !h.isGone {
		return h
	}
	rejoins := 0
	if h.incarnation != "" && now.Sub(h.joinedAt) < rejoinMemory {
		rejoins = h.rejoins + 1
	}
	return History{changedAt: now, incarnation: incarnation, joinedAt: now, rejoins: rejoins}
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
	h.changedAt, h.joinedAt, h.rejoins = now, now, h.rejoins+1
	return h
}

// IsForgettable reports whether the host is gone and its return would not count as a rejoin.
func (h History) IsForgettable(now time.Time) bool {
	return h.isGone && now.Sub(h.joinedAt) >= rejoinMemory
}

// Member returns the host with this history as a member.
func (h History) Member(now time.Time, c Candidate) Member {
	m := Member{Candidate: c, StableFor: now.Sub(h.changedAt)}
	if now.Sub(h.joinedAt) < rejoinMemory {
		m.Rejoins = h.rejoins
	}
	return m
}
