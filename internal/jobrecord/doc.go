// Package jobrecord decides which revisions guard the transactions that write the records of a shard's jobs. It does no I/O.
package jobrecord
