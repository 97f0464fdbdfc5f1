package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/knownred"
)

// Guards against an owner whose machine has become slow and that keeps its shard although hosts as strong as it was own nothing: the
// choice of owners follows the strength in the settings only, so the shard's commits and starts stay behind.
func TestSlowedOwnerHandsItsShardOver(t *testing.T) {
	knownred.Skip(t)
	for seed := range uint64(3) {
		runFleet(t, seed, 1, func(f *simulatedFleet) {
			f.start("slowed", strongHost)
			time.Sleep(2 * time.Second)
			f.startMixed(4, 0)
			time.Sleep(5 * time.Second)
			began := time.Now()
			f.hosts["slowed"].slowdown.Store(5)
			time.Sleep(2 * contactTime)
			f.tasks.calm()
			time.Sleep(contactTime + restartGrace + 10*time.Second)
			longest, task := f.tasks.longestCounted()
			assert.Check(t, longest <= restartWindow, "seed %d: %s had nothing running for %s; owners: %v %s", seed, task, longest,
				f.owners(), f.ownerHistory(began))
		})
	}
}
