package entry_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// ownerState is how the owner of a shard answers queries of its load.
type ownerState int

const (
	ownerSilent ownerState = iota
	ownerSuitable
	ownerUnsuitable
)

// hostWithOwners returns a host that knows the shards of some owners.
func hostWithOwners(owners map[string]ownerState) *entry.Host {
	h := newHost(1, kvstore.Store{})
	var names []string
	for n := range len(owners) {
		names = append(names, fmt.Sprint(n))
	}
	h.SetOwners(names...)
	h.SetRequest(func(ctx context.Context, owner string, _ peer.Message) (peer.Message, error) {
		if owners[owner] == ownerSilent {
			<-ctx.Done()
			return peer.Message{}, ctx.Err()
		}
		return peer.Message{LoadReply: &peer.LoadReply{
			Free: 1000, Known: true, Room: 1000, Unsuitable: owners[owner] == ownerUnsuitable,
		}}, nil
	})
	return h
}

// chosenShards returns how often each shard is chosen for a job whose step requires a label.
func chosenShards(t *testing.T, h *entry.Host, choices int) map[int]int {
	chosen := map[int]int{}
	for range choices {
		n, ok := h.ChooseShard(t.Context(), workflow.Job{
			Settings: &workflow.QueueSettings{Service: "s"}, Steps: []workflow.Step{{Count: 1, Label: "special"}},
		})
		assert.Assert(t, ok)
		chosen[n]++
	}
	return chosen
}

// Guards against a job that goes to a shard without a worker that could hold its tasks, although the only shard that may have one does not
// say that it has none: its owner is silent.
func TestSilentShardComesBeforeUnsuitableOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // messages to owners end
		h := hostWithOwners(map[string]ownerState{"0": ownerUnsuitable, "1": ownerSilent, "2": ownerUnsuitable, "3": ownerUnsuitable})
		assert.DeepEqual(t, chosenShards(t, h, 40), map[int]int{1: 40})
	})
}

// Guards against a job that goes to a shard whose owner has just said that its workers can't hold the job, because the owner is silent now
// and its last load is used without that.
func TestUnsuitableShardStaysUnsuitableWhileItsOwnerIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // messages to owners end
		owners := map[string]ownerState{"0": ownerUnsuitable, "1": ownerSuitable}
		h := hostWithOwners(owners)
		assert.DeepEqual(t, chosenShards(t, h, 5), map[int]int{1: 5})
		owners["0"], owners["1"] = ownerSilent, ownerSilent
		for range 20 { // the loads are out of date after the first choices, but not what the workers can hold
			assert.DeepEqual(t, chosenShards(t, h, 2), map[int]int{1: 2})
		}
	})
}

// Guards against a job that goes to a shard without a worker that could hold its tasks, because no owner answers, although the host that
// chooses follows the registry itself.
func TestHostWithShardKnowsUnsuitableShardsWithoutTheirOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shards, jobs = 4, 20
		f := newExchangeFleet(t, 1, shards, shards)
		f.setPeerDelay(loadQueriesLost)
		special := f.worker(2, 0)
		special.Labels = []string{"special"}
		f.store.put(special.ID, nil)
		time.Sleep(time.Second)
		for name := range f.owners() {
			for i := range jobs {
				j := workflow.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Steps: []workflow.Step{{Count: 1, Label: "special"}}}
				n, ok := f.host(name).daemon.ChooseShard(t.Context(), j)
				assert.Assert(t, ok)
				assert.Equal(t, n, 2, name)
			}
		}
		f.end()
	})
}

// loadQueriesLost loses all queries of loads.
func loadQueriesLost(_ string, m peer.Message) time.Duration {
	if m.LoadQuery != nil {
		return -1
	}
	return 0
}
