// Package workflow defines jobs, which are graphs of steps, the queues to which they are submitted, and the records of their
// progress.
package workflow
