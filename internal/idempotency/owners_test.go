package idempotency_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/laburnumridge/laburnumridge/internal/idempotency"
)

var seedFlag = flag.Uint64("seed", 0, "run only this seed of the two-owner history")

type callOutput struct {
	executed bool
	verdict  idempotency.Verdict
}

// atMostOnce is the sequential model of one key. Its state is whether the request ran.
var atMostOnce = porcupine.Model{
	Init: func() any { return false },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[byte][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input.(byte)] = append(byKey[op.Input.(byte)], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Step: func(state, _, output any) (bool, any) {
		ran, out := state.(bool), output.(callOutput)
		switch {
		case out.executed:
			return !ran, true
		case out.verdict == idempotency.VerdictNotRun:
			return !ran, ran
		case out.verdict == idempotency.VerdictReplay:
			return ran, ran
		}
		return true, ran
	},
}

type scheduledEvent struct {
	at time.Time
	do func()
}

// history simulates two owners of one shard on a virtual clock and records their answers.
type history struct {
	// epochs is the highest epoch that each worker has accepted; it refuses lower ones.
	epochs []int64
	events []scheduledEvent
	now    time.Time
	ops    []porcupine.Operation
	// pauses is the time until which each owner pauses before it sends a request whose key it has claimed.
	pauses  [2]time.Time
	r       *rand.Rand
	tables  [2]*idempotency.Table
	workers []string
}

func newHistory(seed uint64) *history {
	h := &history{epochs: make([]int64, 5), now: t0, r: rand.New(rand.NewPCG(seed, 1))}
	for i := range h.epochs {
		h.workers = append(h.workers, fmt.Sprint("w", i))
	}
	for i := range h.tables {
		h.tables[i] = idempotency.NewTable(idempotency.DefaultLimits())
		h.tables[i].SetWorkers(h.workers)
	}
	return h
}

func (h *history) after(d time.Duration, do func()) {
	h.events = append(h.events, scheduledEvent{h.now.Add(d), do})
}

func (h *history) delay() time.Duration {
	if h.r.IntN(8) == 0 {
		return time.Duration(h.r.Int64N(int64(6 * time.Second)))
	}
	return time.Duration(h.r.Int64N(int64(100 * time.Millisecond)))
}

// heartbeat sends the epoch of an owner to a worker. Request and response are delayed independently.
func (h *history) heartbeat(owner, worker int) {
	sent := h.now
	h.after(h.delay(), func() {
		if h.epochs[worker] > int64(owner+1) {
			return
		}
		h.epochs[worker] = int64(owner + 1)
		h.after(h.delay(), func() { h.tables[owner].EpochAccepted(h.now, h.workers[worker], sent) })
	})
}

// call sends a request with a key to an owner, which may pause between claiming the key and sending the request.
func (h *history) call(owner int, n byte, k idempotency.Key) {
	called := h.now
	c := h.tables[owner].Claim(h.now, k, fingerprint)
	end := func(executed bool) {
		h.ops = append(h.ops, porcupine.Operation{
			ClientId: len(h.ops), Call: called.UnixNano(), Input: n,
			Output: callOutput{executed, c.Verdict}, Return: h.now.UnixNano() + 1,
		})
	}
	if c.Verdict != idempotency.VerdictProceed {
		end(false)
		return
	}
	worker, wait := h.r.IntN(len(h.workers)), h.delay()
	if paused := h.pauses[owner].Sub(h.now); paused > 0 {
		wait += paused
	}
	h.after(wait, func() {
		if h.epochs[worker] > int64(owner+1) {
			h.tables[owner].Release(k)
			end(false)
			return
		}
		h.epochs[worker] = int64(owner + 1)
		h.after(h.delay(), func() {
			outcome := idempotency.OutcomeDone
			if h.r.IntN(3) == 0 {
				outcome = idempotency.OutcomeUnknown
			}
			h.tables[owner].Finish(k, outcome, idempotency.Response{Status: 200})
			end(true)
		})
	})
}

// run lets the second owner take over at a random time while the first still considers itself the owner, and has
// callers repeat each key at either owner.
func (h *history) run() {
	takeover := t0.Add(15*time.Second + time.Duration(h.r.Int64N(int64(20*time.Second))))
	h.pauses[0] = takeover.Add(time.Duration(h.r.Int64N(int64(40*time.Second)) - int64(20*time.Second)))
	reachable := [2][]int{h.r.Perm(5)[:3+h.r.IntN(3)], h.r.Perm(5)[:3+h.r.IntN(3)]}
	next := byte(0)
	for step := range 1400 {
		h.now = t0.Add(time.Duration(step) * 50 * time.Millisecond)
		for i := 0; i < len(h.events); i++ {
			if !h.events[i].at.After(h.now) {
				do := h.events[i].do
				h.events = append(h.events[:i], h.events[i+1:]...)
				do()
				i = -1
			}
		}
		for owner := range h.tables {
			if step%20 == owner && (owner == 0 || h.now.After(takeover)) {
				for _, worker := range reachable[owner] {
					h.heartbeat(owner, worker)
				}
			}
		}
		if h.r.IntN(6) == 0 && next < 255 {
			n, k := next, keyAt(h.now.Add(time.Duration(h.r.Int64N(int64(2*time.Second)))), next)
			next++
			for range 1 + h.r.IntN(3) {
				owner := h.r.IntN(2)
				h.after(h.delay()*time.Duration(1+h.r.IntN(3)), func() { h.call(owner, n, k) })
			}
		}
	}
}

// Guards against running a request twice, and against answering that it did not run after it ran, while two owners
// overlap in a takeover, messages are delayed and an owner pauses between claim and sending.
func TestKeyRunsAtMostOnceOverTakeover(t *testing.T) {
	seeds := []uint64{*seedFlag}
	if *seedFlag == 0 {
		seeds = nil
		for seed := range uint64(200) {
			seeds = append(seeds, seed+1)
		}
	}
	executed := map[bool]int{}
	for _, seed := range seeds {
		h := newHistory(seed)
		h.run()
		if !porcupine.CheckOperations(atMostOnce, h.ops) {
			t.Errorf("a request ran twice, or was reported as not run after it ran; repeat with -seed %d", seed)
		}
		for _, op := range h.ops {
			executed[op.Output.(callOutput).executed]++
		}
	}
	t.Logf("%d executions, %d other answers", executed[true], executed[false])
	if executed[true] < 10*len(seeds) {
		t.Errorf("only %d executions in %d histories", executed[true], len(seeds))
	}
}
