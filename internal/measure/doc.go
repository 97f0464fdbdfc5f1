// Package measure runs the decision code of the scheduler against small stand-ins on a virtual clock and
// reports tail latency, batch throughput, evictions and what each kind keeps in a flood.
//
// The stand-ins hold only what a decision reads: one zone of workers with two entry hosts. Figures depend
// on the seed alone.
package measure
