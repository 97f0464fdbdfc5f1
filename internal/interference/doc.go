// Package interference estimates how much batch work slows down latency-critical work on the same worker and
// decides how to mitigate a measured slowdown.
//
// Model estimates the slowdown of services by batch works, and Mitigator answers it with throttling, closing the
// worker to batch work and evictions. Serving tasks are long-running tasks with a tail latency target; best-effort
// tasks use the CPU time that they leave. The pressure model estimates how much best-effort tasks slow serving tasks down,
// apart from the load of the serving tasks themselves, which is estimated separately.
package interference
