package clientmemory_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
)

// clock is a clock that tests set.
type clock struct{ time time.Time }

func (c *clock) now() time.Time { return c.time }

func newBudget(limit int64) (*clientmemory.Budget, *clock) {
	c := &clock{time: time.Unix(1000, 0)}
	return clientmemory.NewBudget(limit, nil, c.now), c
}

func ignore() {}

// Guards against a client that uses up the memory alone, and against a share that is too small for a client behind which there are many.
func TestClientAloneLeavesQuarterToOthers(t *testing.T) {
	b, _ := newBudget(1000)
	hog, other := b.Open("a", ignore), b.Open("b", ignore)
	assert.NilError(t, hog.Grow(750))
	assert.ErrorIs(t, hog.Grow(1), clientmemory.ErrShort)
	assert.NilError(t, other.Grow(180))
	hog.Close()
	assert.Equal(t, b.Held(), int64(180))
	assert.NilError(t, other.Grow(570))
}

// Guards against requests that are refused for the sake of clients that send nothing more, and against ending those that do.
func TestOnlyStalledHoldsAreEnded(t *testing.T) {
	b, c := newBudget(1000)
	var ended []string
	open := func(name string) *clientmemory.Hold {
		h := b.Open("a", func() { ended = append(ended, name) })
		assert.NilError(t, h.Grow(250))
		c.time = c.time.Add(time.Millisecond)
		return h
	}
	slow, stalled, received := open("slow"), open("stalled"), open("received")
	assert.NilError(t, received.Receive())
	c.time = c.time.Add(197 * time.Millisecond)
	slow.Deliver(1 << 10)
	next := b.Open("a", ignore)
	assert.ErrorIs(t, next.Grow(125), clientmemory.ErrShort)
	c.time = c.time.Add(time.Millisecond)
	assert.NilError(t, next.Grow(125))
	assert.DeepEqual(t, ended, []string{"stalled"})
	assert.ErrorIs(t, stalled.Grow(1), clientmemory.ErrStalled)
	assert.ErrorIs(t, stalled.Receive(), clientmemory.ErrStalled)
	assert.NilError(t, slow.Receive())
	stalled.Close()
	assert.Equal(t, b.Held(), int64(625))
}

// Guards against a client that counts as one that makes progress because it sends a byte now and then.
func TestSingleBytesAreNoProgress(t *testing.T) {
	b, c := newBudget(1000)
	trickling := b.Open("a", ignore)
	assert.NilError(t, trickling.Grow(750))
	for range 10 {
		c.time = c.time.Add(100 * time.Millisecond)
		trickling.Deliver(1)
	}
	assert.NilError(t, b.Open("a", ignore).Grow(375))
	assert.ErrorIs(t, trickling.Receive(), clientmemory.ErrStalled)
}

// Guards against more memory than the limit while ended holds have not let go of theirs.
func TestEndedHoldsCountUntilTheyAreClosed(t *testing.T) {
	b, c := newBudget(1000)
	first := b.Open("a", ignore)
	assert.NilError(t, first.Grow(750))
	c.time = c.time.Add(time.Second)
	second := b.Open("a", ignore)
	assert.ErrorIs(t, second.Grow(600), clientmemory.ErrShort, "750 and 600 are above 1,125")
	assert.NilError(t, second.Grow(375))
	assert.ErrorIs(t, second.Grow(1), clientmemory.ErrShort)
	first.Close()
	assert.NilError(t, second.Grow(375))
}

// Guards against a client that ends the requests of others although its own have stalled as well.
func TestHeavyClientEndsItsOwnHoldsOnly(t *testing.T) {
	b, c := newBudget(1000)
	other := b.Open("b", ignore)
	assert.NilError(t, other.Grow(240))
	c.time = c.time.Add(time.Second)
	heavy := b.Open("a", ignore)
	assert.NilError(t, heavy.Grow(570))
	assert.ErrorIs(t, heavy.Grow(20), clientmemory.ErrShort)
	assert.NilError(t, other.Receive())
}

// Guards against bytes that are counted twice or never released, and against limits that are exceeded, whatever clients do.
func TestBudgetIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 10_000
		b, c := newBudget(limit)
		held := map[*clientmemory.Hold]int64{}
		var holds []*clientmemory.Hold
		closed := map[*clientmemory.Hold]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				holds = append(holds, b.Open(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "client"), ignore))
			},
			"change": func(t *rapid.T) {
				if len(holds) == 0 {
					t.Skip()
				}
				h := rapid.SampledFrom(holds).Draw(t, "hold")
				n := rapid.Int64Range(0, limit/2).Draw(t, "bytes")
				switch rapid.IntRange(0, 5).Draw(t, "what") {
				case 0:
					if h.Grow(n) == nil {
						held[h] += n
					}
				case 1:
					if h.Resize(n) == nil {
						held[h] = n
					}
				case 2:
					h.Deliver(int(n))
				case 3:
					_ = h.Receive()
				case 4:
					h.Release()
					held[h] = 0
				case 5:
					h.Close()
					held[h], closed[h] = 0, true
				}
			},
			"pass time": func(t *rapid.T) {
				c.time = c.time.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for h, n := range held {
					sum += n
					if closed[h] && n > 0 && !errors.Is(h.Grow(1), clientmemory.ErrStalled) {
						t.Fatal("a closed hold has grown")
					}
				}
				if got := b.Held(); got != sum || got > limit+limit/8 {
					t.Fatalf("%d bytes are held, want %d and at most %d", got, sum, limit+limit/8)
				}
			},
		})
		for _, h := range holds {
			h.Close()
		}
		assert.Equal(t, b.Held(), int64(0))
	})
}

// Guards against a nil budget that fails, since tests and other programs set none.
func TestNilBudgetHasNoLimit(t *testing.T) {
	var b *clientmemory.Budget
	h := b.Open("a", ignore)
	assert.NilError(t, h.Grow(1<<40))
	assert.NilError(t, h.Resize(1<<41))
	assert.NilError(t, h.Receive())
	h.Deliver(1 << 20)
	h.Release()
	h.Close()
}
