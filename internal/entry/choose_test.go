package entry_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against jobs that go to an owner that no longer answers, because the load that it reported before was low.
func TestLateOwnerDoesNotLookEmpty(t *testing.T) {
	var late atomic.Bool
	end := make(chan struct{})
	owner := func(free int64, isLate func() bool) string {
		return startPeer(t, func(peer.Message) peer.Message {
			if isLate() {
				<-end
			}
			return peer.Message{LoadReply: &peer.LoadReply{Free: free, Known: true, Room: 1000}}
		})
	}
	h := newHost(1, kvstore.Store{})
	h.SetOwners(owner(900, late.Load), owner(100, func() bool { return false }))
	defer close(end)
	choose := func() int {
		n, ok := h.ChooseShard(t.Context(), workflow.Job{Steps: []workflow.Step{{Count: 1}}})
		assert.Assert(t, ok)
		return n
	}
	waitForLoads(t, h, 0, 1)
	assert.Equal(t, choose(), 0, "the shard with more room")
	late.Store(true)
	time.Sleep(entry.MaxUnansweredLoadAge + 100*time.Millisecond)
	waitForLoads(t, h, 1)
	assert.Equal(t, choose(), 1, "the shard whose owner answers")
}

// waitForLoads waits until the host has a load of each of the shards, which it then uses for MaxUnansweredLoadAge. On a busy machine
// even an owner that answers at once may be later than the timeout of a query, above all if it is dialled first.
func waitForLoads(t *testing.T, h *entry.Host, shards ...int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; {
		if !slices.ContainsFunc(shards, func(n int) bool { return !h.KnowsLoad(t.Context(), n) }) {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "no load of shards %v", shards)
	}
}

// Guards against a burst of jobs that goes to one shard, because no host counts the jobs that it and others sent there while they are
// not on record, and because hosts that choose at the same time see the same loads. Pattern burst_before_records.
func TestBurstIsSpreadBeforeItsJobsAreOnRecord(t *testing.T) {
	const hosts, jobs, room = 20, 200, 1_000_000
	for name, gap := range map[string]time.Duration{"at the same time": 0, "one after the other": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				free, expected := map[string]int64{"0": room, "1": room - 100}, map[string]int64{}
				request := func(_ context.Context, owner string, m peer.Message) (peer.Message, error) {
					time.Sleep(4 * time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					if m.JobExpected != nil {
						free[owner] += m.JobExpected.Free
						expected[owner] -= m.JobExpected.Free
						return peer.Message{}, nil
					}
					return peer.Message{LoadReply: &peer.LoadReply{
						Expected: expected[owner], Free: free[owner], Known: true, Room: room,
					}}, nil
				}
				var choosers []*entry.Host
				for range hosts {
					h := newHost(1, kvstore.Store{})
					h.SetOwners("0", "1")
					h.SetRequest(request)
					choosers = append(choosers, h)
				}
				var chosen [2]atomic.Int64
				var choices sync.WaitGroup
				for i := range jobs {
					choices.Go(func() {
						n, ok := choosers[i%hosts].ChooseShard(t.Context(), workflow.Job{
							ID:    fmt.Sprintf("%016x", i),
							Steps: []workflow.Step{{Count: 1, Resources: fleet.Resources{CPUMilli: 2000}, LongRunning: true}},
						})
						assert.Check(t, ok)
						chosen[n].Add(1)
					})
					time.Sleep(gap)
				}
				choices.Wait()
				most := max(chosen[0].Load(), chosen[1].Load())
				assert.Check(t, most <= jobs*3/4, "%d of %d jobs in one shard", most, jobs)
				time.Sleep(time.Second) // messages to owners end
			})
		})
	}
}

// Guards against an owner that counts a job twice, or counts one for ever that was never recorded.
func TestExpectedJobCountsUntilItComesOrIsOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.start("one", strongHost)
		time.Sleep(2 * time.Second)
		owner := f.hosts["one"].daemon
		free := func() int64 {
			m, err := owner.HandlePeerMessage(t.Context(), peer.Message{LoadQuery: &peer.LoadQuery{Service: "s"}})
			assert.NilError(t, err)
			return m.LoadReply.Free
		}
		expect := func(id string) {
			_, err := owner.HandlePeerMessage(t.Context(), peer.Message{
				JobExpected: &peer.JobExpected{Free: -3000, ID: id, Service: "s"},
			})
			assert.NilError(t, err)
		}
		idle := free()
		expect("00000000000000aa")
		expect("00000000000000aa")
		assert.Equal(t, free(), idle-3000)
		time.Sleep(entry.ExpectationTime + 10*time.Millisecond)
		assert.Equal(t, free(), idle, "the job is overdue")
		expect(notifiedJob.ID)
		f.addJob(0, notifiedJob)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, free(), idle-3000, "the three tasks of the job run")
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
	})
}
