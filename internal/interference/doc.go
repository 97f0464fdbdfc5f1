// Package interference estimates how much batch work slows down latency-critical work on the same worker and
// decides how to mitigate a measured slowdown.
//
// Model estimates the slowdown of services by batch works, and Mitigator answers it with throttling, closing the
// worker to batch work and evictions. For long-running tasks with a tail latency target, a pressure model estimates how
// much best-effort tasks slow them down, apart from the load that they have themselves.
package interference
