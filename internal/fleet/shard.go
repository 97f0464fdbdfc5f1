package fleet

import (
	"fmt"
	"hash/fnv"
)

// ShardID identifies a shard: some racks of a zone, with one owner at a time.
type ShardID struct {
	Index int    `json:"index"`
	Zone  string `json:"zone"`
}

// String returns zone/index, the form that store keys use.
func (s ShardID) String() string { return fmt.Sprintf("%s/%d", s.Zone, s.Index) }

// ShardOf returns the shard that a rack belongs to. All workers of a rack are in the same shard.
func ShardOf(zone, rack string, shards int) ShardID {
	return ShardID{Index: Partition(rack, shards), Zone: zone}
}

// Partition maps a name to one of n partitions by its hash.
func Partition(name string, n int) int {
	if n <= 1 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(n))
}
