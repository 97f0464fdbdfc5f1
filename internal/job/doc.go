// Package job holds the tasks of a shard that wait: their order, their cancellation, the due times of
// scheduled work, and what is learned about run times and usage.
package job
