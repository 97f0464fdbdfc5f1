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
	arrived time.Time
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
	requests deque
	share    float64
}

// deque is a first-in first-out queue that can also be read from its newest end.
type deque struct {
	head  int
	items []Request
}

func (d *deque) len() int { return len(d.items) - d.head }

func (d *deque) oldest() Request { return d.items[d.head] }

func (d *deque) popNewest() Request {
	r := d.items[len(d.items)-1]
	d.items[len(d.items)-1] = Request{}
	d.items = d.items[:len(d.items)-1]
	d.compact()
	return r
}

func (d *deque) popOldest() Request {
	r := d.items[d.head]
	d.items[d.head] = Request{}
	d.head++
	d.compact()
	return r
}

func (d *deque) push(r Request) { d.items = append(d.items, r) }

func (d *deque) remove(id string) (Request, bool) {
	i := slices.IndexFunc(d.items[d.head:], func(r Request) bool { return r.ID == id })
	if i < 0 {
		return Request{}, false
	}
	r := d.items[d.head+i]
	d.items = slices.Delete(d.items, d.head+i, d.head+i+1)
	return r, true
}

// compact keeps the freed front below half, so that pops stay constant on average.
func (d *deque) compact() {
	if d.head == len(d.items) {
		d.head, d.items = 0, d.items[:0]
	} else if d.head > len(d.items)/2 {
		n := copy(d.items, d.items[d.head:])
		clear(d.items[n:])
		d.head, d.items = 0, d.items[:n]
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
