// Package entry is the daemon of an entry host on a platform whose store offers transactions: it takes callers' jobs,
// keeps the config in force, and owns shards.
package entry
