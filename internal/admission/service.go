package admission

import (
	"slices"
	"strings"
	"time"
)

// minShare is the lower bound of the share of a service or team, so that one without a configured share is never starved.
const minShare = 0.01

// serviceState is the state of one service. Its teams share its slots as services share the capacity.
type serviceState struct {
	serviceTimeEstimate
	inUse  int
	name   string
	queued int
	share  float64
	teams  []*teamState
}

// teamState is the queue of one team within one service.
type teamState struct {
	inUse int
	name  string
	queue fifo
	share float64
}

// fifo is a first-in first-out queue.
type fifo struct {
	head  int
	items []Request
}

func (f *fifo) len() int { return len(f.items) - f.head }

func (f *fifo) oldest() Request { return f.items[f.head] }

func (f *fifo) popOldest() Request {
	r := f.items[f.head]
	f.items[f.head] = Request{}
	f.head++
	f.compact()
	return r
}

func (f *fifo) push(r Request) { f.items = append(f.items, r) }

func (f *fifo) remove(id string) (Request, bool) {
	i := slices.IndexFunc(f.items[f.head:], func(r Request) bool { return r.ID == id })
	if i < 0 {
		return Request{}, false
	}
	r := f.items[f.head+i]
	f.items = slices.Delete(f.items, f.head+i, f.head+i+1)
	return r, true
}

// compact reclaims the popped front once it exceeds half of items, so that pops take amortized constant time.
func (f *fifo) compact() {
	if f.head == len(f.items) {
		f.head, f.items = 0, f.items[:0]
	} else if f.head > len(f.items)/2 {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.head, f.items = 0, f.items[:n]
	}
}

func (s *serviceState) removeIdleTeam(t *teamState) {
	if t.inUse == 0 && t.queue.len() == 0 {
		s.teams = slices.DeleteFunc(s.teams, func(o *teamState) bool { return o == t })
	}
}

// guaranteedSlots returns the number of slots that the service gets when all services have queued requests. No slot is
// kept free for it: other services use its slots until it has requests.
func (s *serviceState) guaranteedSlots(capacity int) float64 { return s.share * float64(capacity) }

// leastServedTeam returns the team with queued requests that uses the smallest part of its share.
func (s *serviceState) leastServedTeam() *teamState {
	var best *teamState
	for _, t := range s.teams {
		if t.queue.len() > 0 && (best == nil || usesLessOfShare(t.inUse, t.share, best.inUse, best.share)) {
			best = t
		}
	}
	return best
}

// teamOf returns the state of a team within the service and creates it if it does not exist.
func (s *serviceState) teamOf(name string, shares map[string]float64) *teamState {
	i, ok := slices.BinarySearchFunc(s.teams, name, func(t *teamState, n string) int {
		return strings.Compare(t.name, n)
	})
	if !ok {
		s.teams = slices.Insert(s.teams, i, &teamState{name: name, share: max(minShare, shares[name])})
	}
	return s.teams[i]
}

// predictWait predicts how long a request of the team would wait if it were queued now.
// overallServiceTime is the mean over all services.
func (s *serviceState) predictWait(t *teamState, capacity int, overallServiceTime time.Duration) time.Duration {
	if float64(s.inUse+s.queued) < s.guaranteedSlots(capacity) {
		// The service is below its guarantee, so it gets the next slots that any service frees.
		return overallServiceTime * time.Duration(s.queued+1) / time.Duration(max(1, capacity))
	}
	slots := max(s.guaranteedSlots(capacity), float64(s.inUse), 1)
	sum := 0.0
	for _, o := range s.teams {
		if o == t || o.queue.len() > 0 {
			sum += o.share
		}
	}
	slots *= t.share / sum
	return time.Duration(float64(t.queue.len()+1) * float64(s.meanServiceTime()) / slots)
}

// usesLessOfShare reports whether the first of two services or teams uses a smaller part of its share.
func usesLessOfShare(inUse int, share float64, otherInUse int, otherShare float64) bool {
	return float64(inUse)*otherShare < float64(otherInUse)*share
}
