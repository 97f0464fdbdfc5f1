package entry_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

const (
	// drainTimeout bounds a drain, which has to serve callers for 2.5 s after its handovers.
	drainTimeout = 5 * time.Second
	// maxDrainHandover is the time for the handovers of a drain.
	maxDrainHandover = 2500 * time.Millisecond
	// maxAbandonedTime is how long a task may have nothing running until another host has its shard because the lease was abandoned:
	// 3.5 s of attempts, the lease unless the store ends it at once, and the takeover.
	maxAbandonedTime = 6 * time.Second
)

// checkDrain drains the first host and checks that its handovers leave time for its callers, that the second host gets all shards,
// and that no task has nothing running for longer than maxIdle.
func (f *simulatedFleet) checkDrain(maxIdle time.Duration) {
	f.t.Helper()
	began, done := time.Now(), make(chan time.Duration, 1)
	go func() {
		ctx, cancel := context.WithTimeout(f.t.Context(), drainTimeout)
		defer cancel()
		f.hosts["one"].daemon.DrainShards(ctx)
		done <- time.Since(began)
	}()
	time.Sleep(2 * drainTimeout)
	select {
	case took := <-done:
		assert.Check(f.t, took <= maxDrainHandover, "the handovers took %s", took)
	default:
		f.t.Errorf("the handovers are not done after %s", 2*drainTimeout)
	}
	assert.Check(f.t, f.owners()["two"] == 3, "owners: %s", f.ownerHistory(began))
	f.checkIdle(maxIdle, began)
}

// Guards against a drain that spends its time on owner keys that the store does not delete: callers that are still served are cut
// off, and the shards have no acting owner until the lease ends after the drain.
func TestDrainLeavesShardsThatTheStoreDoesNotHandOver(t *testing.T) {
	for name, fault := range map[string]txnFault{
		"refused": {isRefused: true}, "no answer": {delay: time.Hour}, "carried out after 3 s": {delay: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runFaultyFleet(t, fault, deletesOwner, func(f *simulatedFleet, setFaulty func(bool)) {
				f.start("two", strongHost)
				time.Sleep(500 * time.Millisecond)
				setFaulty(true)
				f.tasks.calm()
				f.checkDrain(maxUnservedTime)
			})
		})
	}
}

// Guards against a drain that does not end because a handover for rebalancing is under way that the store does not carry out.
func TestDrainEndsDuringHandoverThatFails(t *testing.T) {
	for name, wait := range map[string]time.Duration{"deletion": 2 * time.Second, "taking back": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			all := func(kvstore.Txn) bool { return true }
			runFaultyFleet(t, txnFault{isRefused: true}, all, func(f *simulatedFleet, setFaulty func(bool)) {
				f.start("two", strongHost)
				time.Sleep(1600 * time.Millisecond)
				f.tasks.calm()
				setFaulty(true)
				time.Sleep(wait)
				f.checkDrain(maxAbandonedTime)
			})
		})
	}
}

// Guards against a shard without an acting owner while the store renews the lease of its owner and refuses all its transactions, so
// that the owner can neither hand the shard over nor take it back.
func TestHostWhoseTransactionsAreRefusedLeavesItsShards(t *testing.T) {
	all := func(kvstore.Txn) bool { return true }
	runFaultyFleet(t, txnFault{isRefused: true}, all, func(f *simulatedFleet, setFaulty func(bool)) {
		f.start("two", strongHost)
		begin := time.Now()
		time.Sleep(1600 * time.Millisecond)
		f.tasks.calm()
		setFaulty(true)
		time.Sleep(20 * time.Second)
		assert.Check(f.t, f.owners()["two"] == 3, "owners: %s", f.ownerHistory(begin))
		f.checkIdle(maxAbandonedTime, begin)
	})
}
