// Package workercall holds what an owner knows of the lifetimes of a worker and of the calls to it: a lifetime's clock and the leases on that
// clock, which belong together, and the calls that have no response, which the worker may carry out late and in a later lifetime than
// the one that they were meant for.
package workercall
