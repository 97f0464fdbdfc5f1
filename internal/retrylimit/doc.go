// Package retrylimit counts the failed runs of tasks over all owners that learn of them, and names what follows them. It does no I/O.
package retrylimit
