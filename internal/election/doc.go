// Package election orders the hosts that may own a shard, so that mostly one of them tries to.
package election
