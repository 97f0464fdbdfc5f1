package election

import "slices"

const (
	// workersPerCore is the number of workers that an owner with one core can serve: each takes about 1.6 thousandths of a
	// core while its tasks are short.
	workersPerCore = 600
	// minWorkersPerShard keeps shards large enough for steps with many tasks, and maxWorkersPerShard keeps them small enough
	// to be handled in one round of placement.
	minWorkersPerShard = 50
	maxWorkersPerShard = 200
	// toleratedHostLosses is how many of the strongest hosts may fail while the next one can still own a shard.
	toleratedHostLosses = 2
)

// Shards returns the number of shards into which a fleet is split, so that hosts of these strengths can own them. Larger
// shards pack steps with many tasks better, and balance load over more workers without moving tasks between shards.
func Shards(workers int, strengths []float64) int {
	sorted := slices.Clone(strengths)
	slices.Sort(sorted)
	slices.Reverse(sorted)
	strength := minStrength
	if len(sorted) > 0 {
		strength = sorted[min(toleratedHostLosses, len(sorted)-1)]
	}
	size := min(max(int(strength*workersPerCore), minWorkersPerShard), maxWorkersPerShard)
	return max((workers+size-1)/size, 1)
}
