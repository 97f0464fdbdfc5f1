package exchange

import (
	"cmp"
	"maps"
	"slices"

	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// Questions chooses the classes of tasks for which an owner asks other shards, so that each class has its turn with each shard.
type Questions struct {
	// asked holds, by shard and class, the number of the last question to the shard that settled whether it has room for the class.
	asked map[int]map[shard.Demand]int
	// limit is the number of classes in a question.
	limit int
	// last is the number of the last question.
	last int
}

// Option sets up Questions.
type Option func(*Questions)

// WithLimit sets the largest number of classes in a question.
func WithLimit(limit int) Option { return func(q *Questions) { q.limit = limit } }

// NewQuestions returns questions of an owner that has asked nothing yet.
func NewQuestions(options ...Option) *Questions {
	q := &Questions{asked: map[int]map[shard.Demand]int{}, limit: 16}
	for _, o := range options {
		o(q)
	}
	return q
}

// Select returns the indices of the classes to ask a shard for, out of those that it could hold, in the order in which they have waited: the ones
// that it was asked for the longest time ago.
func (q *Questions) Select(n int, classes []shard.Demand) []int {
	byQuestion := map[int][]int{}
	for i, d := range classes {
		asked := q.asked[n][classOf(d)]
		byQuestion[asked] = append(byQuestion[asked], i)
	}
	var out []int
	for _, asked := range slices.Sorted(maps.Keys(byQuestion)) {
		out = append(out, mostPressing(classes, byQuestion[asked], q.limit-len(out))...)
	}
	slices.Sort(out)
	return out
}

// Note notes the answer of a shard to a question for the selected ones of the classes that it could hold. An answer of zeros says that the shard
// has no room for larger tasks of the same kind either, so that the next question is for other classes.
func (q *Questions) Note(n int, classes []shard.Demand, selected, room []int) {
	q.last++
	hasNone := len(room) > 0 && !slices.ContainsFunc(room, func(k int) bool { return k > 0 })
	asked := make(map[shard.Demand]int, len(classes))
	for _, d := range classes {
		if last, ok := q.asked[n][classOf(d)]; ok {
			asked[classOf(d)] = last
		}
	}
	for _, s := range selected {
		asked[classOf(classes[s])] = q.last
		for _, d := range classes {
			if hasNone && needsNoLess(d, classes[s]) {
				asked[classOf(d)] = q.last
			}
		}
	}
	q.asked[n] = asked
}

// classOf returns a demand without its number of tasks, which changes while the class waits.
func classOf(d shard.Demand) shard.Demand {
	d.Count = 0
	return d
}

// needsNoLess reports whether a worker that can take a task of a demand can take one of another demand as well.
func needsNoLess(d, other shard.Demand) bool {
	isLimited := other.PerWorker > 0 && (other.PerWorker != d.PerWorker || other.Job != d.Job || other.Step != d.Step)
	return d.Service == other.Service && d.Label == other.Label && d.IsNew == other.IsNew && d.IsShort == other.IsShort && !isLimited &&
		other.Resources.FitsIn(d.Resources)
}

// mostPressing returns at most limit of the classes with some indices: half of them are those that have waited the longest, which come first. The
// others are those with the smallest tasks, since a shard that is full as well has room only for tasks that are smaller than its own.
func mostPressing(classes []shard.Demand, indices []int, limit int) []int {
	if len(indices) <= limit {
		return indices
	}
	rest := slices.Clone(indices[limit/2:])
	slices.SortStableFunc(rest, func(a, b int) int { return compareSizes(classes[a], classes[b]) })
	smallest := make([]int, 0, limit)
	var others []int
	for _, i := range rest {
		if slices.ContainsFunc(smallest, func(k int) bool { return needsNoLess(classes[i], classes[k]) }) {
			others = append(others, i)
		} else if len(smallest) < limit {
			smallest = append(smallest, i)
		}
	}
	return slices.Concat(indices[:limit/2], slices.Concat(smallest, others)[:limit-limit/2])
}

// compareSizes orders demands of tasks that ran before by their size, and puts those of others last.
func compareSizes(a, b shard.Demand) int {
	isNew := func(d shard.Demand) int {
		if d.IsNew || d.IsShort {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(isNew(a), isNew(b)), cmp.Compare(a.Resources.CPUMilli, b.Resources.CPUMilli))
}
