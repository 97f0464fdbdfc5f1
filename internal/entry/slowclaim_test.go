package entry_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// storeCallTimeout is how long a host waits for a response of the store before it makes another attempt.
const storeCallTimeout = 400 * time.Millisecond

// takesFirstShard reports whether a transaction makes a host the owner of shard 0.
func takesFirstShard(t kvstore.Txn) bool {
	return len(t.Puts) > 0 && t.Puts[0].Key == entry.OwnerPrefix+"0"
}

// Guards against shards of a lost host that stay without an owner, since the host that is left gives up each claim just before the
// claim gets processor time beside the calls for the shards that it has.
func TestHostClaimsShardsOfLostHostInTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		runFleet(t, seed, 5, func(f *simulatedFleet) {
			f.startMixed(2, 0)
			time.Sleep(5 * time.Second)
			began := time.Now()
			f.kill("strong-0")
			time.Sleep(contactTime)
			assert.Check(t, f.ownershipFault() == "", "seed %d: %s; owners: %s", seed, f.ownershipFault(), f.ownerHistory(began))
		})
	}
}

// Guards against a draining host that takes a shard after it has given up the others, and keeps it until its lease ends.
func TestDrainWaitsForClaimUnderWay(t *testing.T) {
	runFleet(t, 1, 1, func(f *simulatedFleet) {
		claimed := make(chan struct{})
		f.store.txnFault = func(_ string, t kvstore.Txn) txnFault {
			if takesFirstShard(t) {
				close(claimed)
				time.Sleep(storeCallTimeout - 2*storeLatency)
			}
			return txnFault{}
		}
		began := time.Now()
		host := f.start("draining", strongHost)
		<-claimed
		host.daemon.DrainShards(f.t.Context())
		time.Sleep(time.Second)
		assert.Check(t, len(f.owners()) == 0, "owners: %s", f.ownerHistory(began))
	})
}

// Guards against an owner that drops its state and reads the shard anew, because it takes its own claim, whose response was lost, for
// one of another host; and against an owner that does not act because each response is lost.
func TestOwnerKeepsItsStateWhenItsClaimHasNoResponse(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		lost  int64
	}{
		"first response":                  {100 * time.Millisecond, 1},
		"carried out at the next attempt": {storeCallTimeout - storeLatency/2, 1},
		"all responses":                   {100 * time.Millisecond, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			disowned := &messageCounter{message: "gave up the shard"}
			runFleet(t, 1, 1, func(f *simulatedFleet) {
				var left atomic.Int64
				f.store.txnFault = func(_ string, t kvstore.Txn) txnFault {
					if takesFirstShard(t) && left.Add(-1) >= 0 {
						return txnFault{delay: c.delay}
					}
					return txnFault{}
				}
				f.logHook = disowned
				f.start("strong", strongHost)
				time.Sleep(2 * time.Second)
				began := time.Now()
				f.store.setDown(true)
				time.Sleep(3 * time.Second)
				left.Store(c.lost)
				f.store.setDown(false)
				f.checkCalm("the store is back")
				assert.Check(t, disowned.count.Load() == 0, "the shard was given up %d times; owners: %s", disowned.count.Load(),
					f.ownerHistory(began))
			})
		})
	}
}

// messageCounter is a hook that counts the log entries with a message.
type messageCounter struct {
	count   atomic.Int64
	message string
}

func (*messageCounter) Levels() []logrus.Level { return logrus.AllLevels }

func (c *messageCounter) Fire(e *logrus.Entry) error {
	if e.Message == c.message {
		c.count.Add(1)
	}
	return nil
}

// Guards against an owner that waits for ever for a shard without an owner, since each of its claims is guarded by the epoch before its
// own claim, whose response was lost and whose lease has ended.
func TestOwnerTakesShardAgainAfterClaimThatItNeverSaw(t *testing.T) {
	runFleet(t, 1, 1, func(f *simulatedFleet) {
		var left atomic.Int64
		f.store.txnFault = func(_ string, t kvstore.Txn) txnFault {
			if takesFirstShard(t) && left.Add(-1) >= 0 {
				return txnFault{delay: 100 * time.Millisecond}
			}
			return txnFault{}
		}
		f.start("strong", strongHost)
		time.Sleep(2 * time.Second)
		began := time.Now()
		f.store.setDown(true)
		time.Sleep(3 * time.Second)
		left.Store(1)
		f.store.setWatchDelay(func(string) time.Duration { return 3 * time.Second })
		f.store.setDown(false)
		for len(f.ownerWrites("strong", began)) == 0 {
			time.Sleep(time.Millisecond)
		}
		f.store.setDown(true)
		time.Sleep(3 * time.Second)
		f.store.setWatchDelay(nil)
		f.store.setDown(false)
		f.checkCalm("the store is back")
		assert.Check(t, f.owners()["strong"] == 1, "owners: %s", f.ownerHistory(began))
	})
}

// Guards against a shard that nobody serves during a drain, since the host learns late that its claim was carried out.
func TestDrainGivesUpShardOfClaimWithoutResponse(t *testing.T) {
	runFleet(t, 1, 1, func(f *simulatedFleet) {
		claimed := make(chan struct{})
		f.store.txnFault = func(_ string, t kvstore.Txn) txnFault {
			if takesFirstShard(t) {
				close(claimed)
				return txnFault{delay: 100 * time.Millisecond}
			}
			return txnFault{}
		}
		began := time.Now()
		host := f.start("draining", strongHost)
		<-claimed
		host.daemon.DrainShards(f.t.Context())
		time.Sleep(time.Second)
		assert.Check(t, len(f.owners()) == 0, "owners: %s", f.ownerHistory(began))
	})
}
