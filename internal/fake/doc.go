// Package fake holds test doubles of external systems: the platform, workers and a TCP proxy that injects faults.
package fake
