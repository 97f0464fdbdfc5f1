// Package ledger holds the task records of one shard and the rules by which their owner starts,
// stops and rebinds tasks.
//
// State is what the shard's log says. Owner adds what the current owner knows of its workers.
package ledger
