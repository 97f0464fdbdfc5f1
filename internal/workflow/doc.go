// Package workflow holds jobs that are graphs of steps, the queues that they are submitted to, and what is recorded
// of their tasks.
package workflow
