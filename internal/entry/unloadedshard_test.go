package entry_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
)

// Guards against a shard that nobody serves because its owner can't read the records of the shard, for instance over a link that is
// too slow for a page, while it renews its lease and other hosts can read them. It took the shard as the first host, or got it from
// one that served it.
func TestShardThatItsOwnerCannotLoadIsServedByAnotherHost(t *testing.T) {
	for name, c := range map[string]struct {
		first, second string
		shards        int
	}{
		"taken by the first host":  {"unable", "able", 1},
		"handed over by its owner": {"able", "unable", 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, 1, c.shards, simulatedWorkers)
				f.tasks.failAfter = func() time.Duration { return time.Duration(500+f.int(15_000)) * time.Millisecond }
				f.addLongRunning(20)
				f.store.unreadableJobsFor = "unable"
				f.start(c.first, strongHost)
				time.Sleep(5 * time.Second)
				f.start(c.second, strongHost)
				began := time.Now()
				f.tasks.calm()
				time.Sleep(time.Minute)
				longest, task := f.tasks.longestCounted()
				assert.Check(t, longest <= restartWindow, "%s had nothing running for %s; owners: %v %s", task, longest, f.owners(),
					f.ownerHistory(began))
				f.kill(f.names()...)
				time.Sleep(contactTime) // background calls of the hosts end
			})
		})
	}
}

// Guards against a shard that hosts pass around quickly although none of them can load it, since the store can't read its records: each
// host begins anew and makes the others wait. Once the records can be read, the shard is served.
func TestShardThatNoHostCanLoadMovesSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.addLongRunning(20)
		f.store.setUnreadable(entry.JobPrefix + "0/")
		began := time.Now()
		f.start("one", strongHost)
		f.start("two", strongHost)
		f.start("three", strongHost)
		time.Sleep(time.Minute)
		at := f.ownerDeletions()
		assert.Assert(t, len(at) > 1, "the shard was left %d times: %s", len(at), f.ownerHistory(began))
		for i := range at[1:] {
			assert.Check(t, at[i+1].Sub(at[i]) >= 6*time.Second<<i, "left again after %s", at[i+1].Sub(at[i]))
		}
		f.store.setUnreadable("")
		f.tasks.calm()
		time.Sleep(10 * time.Second)
		longest, task := f.tasks.longestCounted()
		assert.Check(t, longest <= restartWindow, "%s had nothing running for %s", task, longest)
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
	})
}

// Guards against an idle host that gets a shard back as soon as it has left it, because its load is less than that of the owner that
// serves the shard: nobody serves the shard each time until the host leaves it again. Each wait is stableTime, doubled for each failed
// load, after 3 s of trying.
func TestHostThatCannotLoadShardsReceivesThemSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 2, simulatedWorkers)
		f.store.unreadableJobsFor = "unable"
		f.start("able", strongHost)
		time.Sleep(5 * time.Second)
		began := time.Now()
		f.start("unable", strongHost)
		time.Sleep(time.Minute)
		at := f.ownershipsOf("unable")
		assert.Check(t, len(at) > 1, "the host received %d shards: %s", len(at), f.ownerHistory(began))
		for i := range at[1:] {
			least := 3*time.Second + min(3*time.Second<<i, 24*time.Second)
			assert.Check(t, at[i+1].Sub(at[i]) >= least, "received again after %s: %s", at[i+1].Sub(at[i]), f.ownerHistory(began))
		}
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
	})
}

// Guards against a shard that is left to another host because its records take long to read, although no read fails: the next host
// would have to begin anew.
func TestShardThatLoadsSlowlyStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.store.jobsDelay = 10 * time.Second
		f.addLongRunning(20)
		began := time.Now()
		f.start("one", strongHost)
		f.start("two", strongHost)
		time.Sleep(15 * time.Second)
		assert.Check(t, len(f.ownerDeletions()) == 0, "the shard moved: %s", f.ownerHistory(began))
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
	})
}

// Guards against a shard that goes back to the host that could not load it when its next owner is lost, because that host is the
// strongest one: it would not be served until that host leaves it again.
func TestHostThatCouldNotLoadShardClaimsItLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.store.unreadableJobsFor = "unable"
		began := time.Now()
		f.start("unable", 2)
		time.Sleep(5 * time.Second)
		f.start("able", strongHost)
		f.start("other", strongHost)
		f.waitForOwnerDeletions(1)
		time.Sleep(500 * time.Millisecond)
		owners := f.owners()
		for _, name := range []string{"able", "other"} {
			if owners[name] == 1 {
				f.kill(name)
			}
		}
		f.waitForOwnerDeletions(2)
		time.Sleep(time.Second)
		assert.Check(t, f.owners()["able"]+f.owners()["other"] == 1, "%s", f.ownerHistory(began))
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
	})
}

// ownershipsOf returns when a host took shards.
func (f *simulatedFleet) ownershipsOf(host string) []time.Time {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var out []time.Time
	for _, e := range f.store.events {
		if e.Deleted || !strings.HasPrefix(e.KV.Key, entry.OwnerPrefix) {
			continue
		}
		if name, err := entry.RecordedHost(e.KV.Value); err == nil && name == host {
			out = append(out, e.at)
		}
	}
	return out
}

// isUnreadable reports whether a host can't read the keys of a prefix.
func (s *memoryStore) isUnreadable(host, prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return prefix == s.unreadablePrefix || host == s.unreadableJobsFor && strings.HasPrefix(prefix, entry.JobPrefix)
}

// setUnreadable sets the prefix that no host can read; "" means none.
func (s *memoryStore) setUnreadable(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreadablePrefix = prefix
}
