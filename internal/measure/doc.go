// Package measure simulates one zone of workers with two entry hosts and measures the scheduler's policies in it.
//
// The decision code (admission, routing, retries, placement, attribution, mitigation, the job queue and the ledger) is
// the real one. Workers, entry hosts and the shard owner around it are stand-ins on a virtual clock, which model only
// what a decision reads. Each scenario runs with the scheduler's own policies, with baselines and with trials, and
// reports tail latency, batch throughput, evictions and, in a flood, how much of its throughput each service and batch
// work retains. These figures depend on the seed alone.
//
// Slopes measures the processor time, memory and message sizes of the real code on the machine that it runs on.
package measure
