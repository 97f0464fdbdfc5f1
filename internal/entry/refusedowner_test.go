package entry_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/knownred"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

const (
	// refusalTime is how long the store refuses transactions: long enough for tasks that ended before to be due again by the rules.
	refusalTime = contactTime + restartGrace + restartWindow + 5*time.Second
	// finishTime is the time after the last job within which all short jobs must be completed.
	finishTime = 14 * time.Second
	// simulatedShards is the number of shards of the fleets whose transactions are refused.
	simulatedShards = 3
)

// refusals is the percentage of the transactions of each host that the store refuses. Renewals of leases, reads and watches are not
// refused.
type refusals struct {
	fleet   *simulatedFleet
	mu      sync.Mutex
	percent map[string]int
}

func (r *refusals) set(percent int, hosts ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		r.percent[h] = percent
	}
}

func (r *refusals) fault(host string, _ kvstore.Txn) txnFault {
	r.mu.Lock()
	percent := r.percent[host]
	r.mu.Unlock()
	return txnFault{isRefused: percent > r.fleet.int(100)}
}

// runRefusals runs a scenario on a fleet of equal hosts, of which each owner has one shard, so that no handover is due. The shards
// have long-running tasks that fail and some short jobs, so that their owners have processor time to spare.
func runRefusals(t *testing.T, hosts int, scenario func(f *simulatedFleet, r *refusals, owners []string)) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, simulatedShards, simulatedWorkers/2)
		f.tasks.failAfter = func() time.Duration { return time.Duration(500+f.int(15_000)) * time.Millisecond }
		f.callCost = callCost
		f.addLongRunning(20)
		ctx, stopLoad := context.WithCancel(t.Context())
		f.stopLoad = stopLoad
		go f.runLoad(ctx, 1, 2)
		r := &refusals{fleet: f, percent: map[string]int{}}
		f.store.txnFault = r.fault
		f.startMixed(hosts, 0)
		time.Sleep(contactTime + time.Second)
		owners := slices.Sorted(maps.Keys(f.owners()))
		assert.Assert(t, len(owners) == simulatedShards, "owners: %s", owners)
		scenario(f, r, owners)
		stopLoad()
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
		assert.Equal(t, strings.Join(f.tasks.violations, "\n"), "")
	})
}

// checkRefusals checks that tasks run as in calm while the store refuses transactions of some hosts and after that, that no shard
// has another owner because of it, and that all short jobs are completed.
func (f *simulatedFleet) checkRefusals(r *refusals, percent int, hosts ...string) {
	f.t.Helper()
	began := time.Now()
	f.tasks.calm()
	r.set(percent, hosts...)
	time.Sleep(refusalTime)
	longest, task := f.tasks.longestCounted()
	f.t.Logf("a task had nothing running for %s more than %s", longest, restartGrace)
	assert.Check(f.t, longest <= restartWindow, "%s had nothing running for %s; owners: %s", task, longest, f.ownerHistory(began))
	r.set(0, hosts...)
	f.checkCalm("the store serves all hosts")
	assert.Check(f.t, f.ownerHistory(began) == "", "owners: %s", f.ownerHistory(began))
	f.stopLoad()
	time.Sleep(finishTime)
	assert.Check(f.t, f.shortJobs() == 0, "%d jobs are not completed", f.shortJobs())
	f.checkNothingWaits("the store serves all hosts")
}

// Guards against an owner that keeps its shard while the store renews its lease and refuses its transactions: long-running tasks
// that fail are not started again, and no job is started or completed, for as long as that lasts.
func TestShardIsServedWhileTransactionsOfItsOwnerAreRefused(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		hosts, percent int
		refused        func(owners []string) []string
	}{
		"one owner":    {5, 100, func(owners []string) []string { return owners[:1] }},
		"all owners":   {5, 100, func(owners []string) []string { return owners }},
		"at random":    {5, 60, func(owners []string) []string { return owners[:1] }},
		"most of them": {5, 90, func(owners []string) []string { return owners[:1] }},
		// Only one host that owns no shard can write.
		"all hosts but one": {9, 100, func(owners []string) []string {
			others := slices.DeleteFunc(hostNames(9), func(h string) bool { return slices.Contains(owners, h) })
			return append(slices.Clone(owners), others[1:]...)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runRefusals(t, c.hosts, func(f *simulatedFleet, r *refusals, owners []string) {
				f.checkRefusals(r, c.percent, c.refused(owners)...)
			})
		})
	}
}

func hostNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("strong-%d", i))
	}
	return out
}

// Guards against hosts that leave their shards to each other in turn while the store refuses the transactions of all of them, and
// against tasks that are not started again as soon as it carries them out.
func TestOwnersStayWhileAllTransactionsAreRefused(t *testing.T) {
	const hosts = 5
	runRefusals(t, hosts, func(f *simulatedFleet, r *refusals, _ []string) {
		began := time.Now()
		r.set(100, hostNames(hosts)...)
		time.Sleep(refusalTime)
		r.set(0, hostNames(hosts)...)
		back := time.Now()
		time.Sleep(restartWindow)
		for task, since := range f.tasks.idle() {
			assert.Check(t, !since.Before(back), "%s has had nothing running since %s before the store was back", task, back.Sub(since))
		}
		f.checkCalm("the store serves all hosts")
		assert.Check(t, f.ownerHistory(began) == "", "owners: %s", f.ownerHistory(began))
	})
}

// Guards against the same if the store refuses most transactions of all hosts, as if they made too many calls.
func TestOwnersStayWhileMostTransactionsAreRefused(t *testing.T) {
	knownred.Skip(t)
	const hosts = 5
	runRefusals(t, hosts, func(f *simulatedFleet, r *refusals, _ []string) {
		f.checkRefusals(r, 60, hostNames(hosts)...)
	})
}
