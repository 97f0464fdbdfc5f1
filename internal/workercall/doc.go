// Package workercall tracks calls to a worker that have no response: the worker may carry them out late, and a later lifetime of the
// worker may do so in place of the one that they were meant for.
package workercall
