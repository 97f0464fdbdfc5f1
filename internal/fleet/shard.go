package fleet

import (
	"fmt"
	"hash/fnv"
)

// ShardID names a group of racks of one zone that has one owner at a time.
type ShardID struct {
	Index int    `json:"index"`
	Zone  string `json:"zone"`
}

// String returns the shard as zone/index, as used in store keys.
func (s ShardID) String() string { return fmt.Sprintf("%s/%d", s.Zone, s.Index) }

// ShardOf returns the shard of a zone's rack; a rack is never split.
func ShardOf(zone, rack string, shards int) ShardID {
	return ShardID{Index: Partition(rack, shards), Zone: zone}
}

// Partition maps a name to one of n partitions by hash.
func Partition(name string, n int) int {
	if n <= 1 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(n))
}
