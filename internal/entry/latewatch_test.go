package entry_test

import (
	"expvar"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
)

// shardsTaken returns how often the hosts of this process have started to act as the owner of a shard that they did not own before.
func shardsTaken() int {
	n, _ := strconv.Atoi(fmt.Sprint(expvar.Get("entry_owner_changes").(*expvar.Map).Get("taken")))
	return n
}

// ownerWriteCount returns how often owner keys were written.
func (f *simulatedFleet) ownerWriteCount() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	n := 0
	for _, e := range f.store.events {
		if !e.Deleted && strings.HasPrefix(e.KV.Key, entry.OwnerPrefix) {
			n++
		}
	}
	return n
}

// Guards against a host that takes a shard back after it handed the shard over, because its watch still shows the owner key that it
// deleted. In virtual time no successor is late, so that each handover beyond two is a fault.
func TestGiverStaysAwayWhileWatchesAreLate(t *testing.T) {
	for _, delay := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond} {
		for _, apart := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, starts %s apart", delay, apart), func(t *testing.T) {
				runView(t, 3, func(f *simulatedFleet) {
					before := shardsTaken()
					f.start("one", strongHost)
					time.Sleep(3 * time.Second)
					began := time.Now()
					f.store.setWatchDelay(func(string) time.Duration { return delay })
					f.start("two", strongHost)
					time.Sleep(apart)
					f.start("three", strongHost)
					time.Sleep(contactTime + restartWindow)
					history := f.ownerHistory(began)
					for _, host := range f.names() {
						assert.Check(t, f.owners()[host] == 1, "%s owns %d shards; owners: %s", host, f.owners()[host], history)
					}
					assert.Check(t, len(f.ownerDeletions()) == 2, "owners: %s", history)
					assert.Check(t, f.ownerWriteCount() == 5, "owners: %s", history)
					assert.Check(t, shardsTaken()-before == 5, "%d starts of owners, not three by the first host and two by others; owners: %s",
						shardsTaken()-before, history)
				})
			})
		}
	}
}

// watchDelays returns the time by which each host's watch is late.
func watchDelays(delays map[string]time.Duration) func(string) time.Duration {
	return func(host string) time.Duration { return delays[host] }
}

// Guards against shards that nobody serves, that two hosts serve, or that keep moving, after hosts to which shards were handed over have
// learned of it too late and others have taken the shards. If both successors of the first host are late, all three of its shards may
// be handed over.
func TestShardsOfLateSuccessorsMoveOnceMore(t *testing.T) {
	for name, tc := range map[string]struct {
		// apart is the time between the starts of both hosts, before how late watches are until the first handover and after from then on.
		apart         time.Duration
		before, after map[string]time.Duration
		owners        string
		shards        int
	}{
		"the first host takes both back": {
			before: map[string]time.Duration{"two": time.Second, "three": time.Second},
			after:  map[string]time.Duration{"two": time.Second, "three": time.Second}, owners: "map[one:3]", shards: 2,
		},
		"a late successor takes the shard of the other": {
			apart:  700 * time.Millisecond,
			before: map[string]time.Duration{"one": 200 * time.Millisecond, "two": 900 * time.Millisecond, "three": time.Second},
			after:  map[string]time.Duration{"one": 200 * time.Millisecond, "three": 1200 * time.Millisecond},
			owners: "map[one:2 two:1]", shards: 3,
		},
	} {
		t.Run(name, func(t *testing.T) {
			runView(t, 3, func(f *simulatedFleet) {
				began, takenBefore := time.Now(), shardsTaken()
				f.start("one", strongHost)
				time.Sleep(3 * time.Second)
				f.start("two", strongHost)
				time.Sleep(tc.apart)
				f.start("three", strongHost)
				time.Sleep(stableTime - tc.apart)
				f.store.setWatchDelay(watchDelays(tc.before))
				f.waitForOwnerDeletions(1)
				f.store.setWatchDelay(watchDelays(tc.after))
				time.Sleep(2 * time.Second)
				assert.Check(t, fmt.Sprint(f.owners()) == tc.owners, "owners: %s", f.ownerHistory(began))
				f.store.setWatchDelay(nil)
				time.Sleep(contactTime + restartWindow)
				history, moved := f.ownerHistory(began), 0
				for n := range 3 {
					if strings.Contains(history, fmt.Sprintf(" %d:none", n)) {
						moved++
					}
				}
				assert.Check(t, f.ownershipFault() == "", "%s; owners: %s", f.ownershipFault(), history)
				assert.Check(t, moved == tc.shards, "%d shards were handed over; owners: %s", moved, history)
				assert.Check(t, shardsTaken()-takenBefore == f.ownerWriteCount(), "%d starts of owners; owners: %s", shardsTaken()-takenBefore, history)
			})
		})
	}
}
