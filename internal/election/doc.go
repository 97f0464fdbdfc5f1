// Package election ranks the hosts as owners of a shard, so that usually only one of them tries to take it. It also decides
// into how many shards a fleet is split.
package election
