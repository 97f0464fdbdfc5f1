// Package shard decides for the jobs of one shard: which tasks run on which workers, what is recorded of them, and
// when a task may be started again.
//
// An Owner does no I/O. Step returns what is to be done, and the results come back through its other methods.
package shard
