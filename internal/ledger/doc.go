// Package ledger keeps the job and task records of one shard, and decides when the shard's owner may start,
// stop and rebind tasks.
//
// State is the result of replaying the shard's log. Owner combines it with the reports of the shard's workers,
// which the log does not hold.
package ledger
