package election

import "slices"

const (
	// workersPerCore is how many workers an owner with a whole core can decide for: each takes about 1.6 thousandths of a
	// core while its tasks are short.
	workersPerCore = 600
	// minWorkers keeps shards large enough for wide steps, maxWorkers small enough for one round of placement.
	minWorkers = 50
	maxWorkers = 200
	// spareOwners is how many of the strongest hosts may be gone while the next one still carries a shard.
	spareOwners = 2
)

// Shards returns into how many shards a fleet is split, so that hosts of these strengths can own them. Larger shards pack
// wide steps better, and even out the load without moving work.
func Shards(workers int, strengths []float64) int {
	sorted := slices.Clone(strengths)
	slices.Sort(sorted)
	slices.Reverse(sorted)
	strength := minStrength
	if len(sorted) > 0 {
		strength = sorted[min(spareOwners, len(sorted)-1)]
	}
	size := min(max(int(strength*workersPerCore), minWorkers), maxWorkers)
	return max((workers+size-1)/size, 1)
}
