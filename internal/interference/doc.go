// Package interference learns how much each batch work slows each service down, and decides how to
// mitigate a slowdown that is measured on a worker.
package interference
