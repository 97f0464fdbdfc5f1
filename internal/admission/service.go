package admission

import (
	"slices"
	"strings"
	"time"
)

// leastShare is the weight of a kind or team without a share, so that it is never starved.
const leastShare = 0.01

// kind is the state of one kind of work; its teams share it as kinds share the capacity.
type kind struct {
	estimate
	inUse  int
	name   string
	queued int
	share  float64
	teams  []*team
}

// team is the queue of one team within one kind.
type team struct {
	inUse    int
	name     string
	requests fifo
	share    float64
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

// compact keeps the freed front below half, so that pops stay constant on average.
func (f *fifo) compact() {
	if f.head == len(f.items) {
		f.head, f.items = 0, f.items[:0]
	} else if f.head > len(f.items)/2 {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.head, f.items = 0, f.items[:n]
	}
}

func (k *kind) dropIdleTeam(t *team) {
	if t.inUse == 0 && t.requests.len() == 0 {
		k.teams = slices.DeleteFunc(k.teams, func(o *team) bool { return o == t })
	}
}

// guarantee is the number of slots that the kind is never denied for others.
func (k *kind) guarantee(capacity int) float64 { return k.share * float64(capacity) }

// neediest returns the team with queued work that uses least of its share.
func (k *kind) neediest() *team {
	var best *team
	for _, t := range k.teams {
		if t.requests.len() > 0 && (best == nil || isNeedier(t.inUse, t.share, best.inUse, best.share)) {
			best = t
		}
	}
	return best
}

func (k *kind) teamOf(name string, shares map[string]float64) *team {
	i, ok := slices.BinarySearchFunc(k.teams, name, func(t *team, n string) int {
		return strings.Compare(t.name, n)
	})
	if !ok {
		k.teams = slices.Insert(k.teams, i, &team{name: name, share: max(leastShare, shares[name])})
	}
	return k.teams[i]
}

// wait predicts the wait of the next request of a team, were it to queue now.
func (k *kind) wait(t *team, capacity int, overall time.Duration) time.Duration {
	if float64(k.inUse+k.queued) < k.guarantee(capacity) {
		// The kind is owed a slot: it gets the next ones that any kind frees.
		return overall * time.Duration(k.queued+1) / time.Duration(max(1, capacity))
	}
	slots := max(k.guarantee(capacity), float64(k.inUse), 1)
	sum := 0.0
	for _, o := range k.teams {
		if o == t || o.requests.len() > 0 {
			sum += o.share
		}
	}
	slots *= t.share / sum
	return time.Duration(float64(t.requests.len()+1) * float64(k.service()) / slots)
}

// isNeedier compares two users of slots by the part of their share that they use.
func isNeedier(inUse int, share float64, otherInUse int, otherShare float64) bool {
	return float64(inUse)*otherShare < float64(otherInUse)*share
}
