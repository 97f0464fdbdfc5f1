package exchange_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/exchange"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

const other = 7

// incomparable returns demands of which none needs as much as another one in all dimensions.
func incomparable(n int) []shard.Demand {
	out := make([]shard.Demand, n)
	for i := range out {
		out[i] = shard.Demand{Count: 1, Resources: fleet.Resources{CPUMilli: int64(100 + i), MemoryMiB: int64(100 + n - i)}, Service: "s"}
	}
	return out
}

// Guards against classes that are never asked for, because others have waited for longer or are smaller.
func TestEachClassHasItsTurn(t *testing.T) {
	q, classes := exchange.NewQuestions(exchange.WithLimit(4)), incomparable(15)
	asked := map[int]int{}
	for range 4 {
		selected := q.Select(other, classes)
		for _, i := range selected {
			asked[i]++
		}
		q.Note(other, classes, selected, make([]int, len(selected)))
	}
	assert.Equal(t, len(asked), len(classes))
	assert.DeepEqual(t, q.Select(other+1, classes), []int{0, 1, 2, 3}) // another shard has not been asked for any of them
}

// Guards against questions for tasks that need no less than others for which the shard has just had no room, while other classes wait for their turn,
// and against conclusions from an answer that says nothing.
func TestAnswerSettlesLargerTasks(t *testing.T) {
	classes := []shard.Demand{
		{Resources: fleet.Resources{CPUMilli: 300}, Service: "s"},
		{Resources: fleet.Resources{CPUMilli: 200}, Service: "s"},
		{Resources: fleet.Resources{CPUMilli: 100}, Service: "s"},
		{Label: "x", Resources: fleet.Resources{CPUMilli: 500}, Service: "s"},
		{Label: "y", Resources: fleet.Resources{CPUMilli: 600}, Service: "s"},
	}
	for _, c := range []struct{ room, want []int }{{[]int{0, 0}, []int{3, 4}}, {nil, []int{1, 3}}} {
		q := exchange.NewQuestions(exchange.WithLimit(2))
		selected := q.Select(other, classes)
		assert.DeepEqual(t, selected, []int{0, 2})
		q.Note(other, classes, selected, c.room)
		assert.DeepEqual(t, q.Select(other, classes), c.want)
	}
}

// Guards against questions without the smallest tasks, which find room in a shard that is full of larger ones, or without the oldest ones.
func TestQuestionHasOldestAndSmallestClasses(t *testing.T) {
	var classes []shard.Demand
	for i := range 40 {
		classes = append(classes, shard.Demand{Resources: fleet.Resources{CPUMilli: int64(1000 - 10*i)}, Service: "s"})
	}
	selected := exchange.NewQuestions().Select(other, classes)
	assert.Equal(t, len(selected), 16)
	assert.Assert(t, slices.Contains(selected, 0) && slices.Contains(selected, 39))
}

// Guards against classes that count as held by a shard whose workers are too small for them, drain or lack their label.
func TestCapacitiesHoldWhatWorkersCould(t *testing.T) {
	c := exchange.Capacities{}
	c.Add(1, shard.Worker{Capacity: fleet.Resources{CPUMilli: 100, MemoryMiB: 10}, Labels: []string{"a"}, Service: "s"})
	c.Add(1, shard.Worker{Capacity: fleet.Resources{CPUMilli: 10, MemoryMiB: 100}, Labels: []string{"a"}, Service: "s"})
	c.Add(1, shard.Worker{Capacity: fleet.Resources{CPUMilli: 1000, MemoryMiB: 1000}, Draining: true, Service: "s"})
	for _, k := range []struct {
		cpu, memory int64
		label       string
		want        bool
	}{{100, 10, "a", true}, {10, 100, "", true}, {100, 100, "a", false}, {10, 10, "b", false}} {
		d := shard.Demand{Label: k.label, Resources: fleet.Resources{CPUMilli: k.cpu, MemoryMiB: k.memory}, Service: "s"}
		assert.Equal(t, c.Holds(1, d), k.want, "%+v", k)
		assert.Assert(t, !c.Holds(2, d))
	}
}
