// Package job queues the waiting tasks of a shard. It orders and cancels them, computes the due times of scheduled
// workloads, and estimates run times and resource usage.
package job
