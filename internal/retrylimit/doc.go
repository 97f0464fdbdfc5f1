// Package retrylimit counts the failed runs of tasks and what becomes of tasks that may not run again. It does no I/O.
package retrylimit
