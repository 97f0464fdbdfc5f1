// Package election ranks the hosts as owners of a shard, so that usually only one of them tries to take it. It also decides
// how long each host waits before it claims a shard, when an owner hands a shard over, and into how many shards a fleet is split.
package election
