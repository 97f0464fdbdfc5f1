// Package fake holds small stand-ins for the platform and its workers, and a proxy that injects faults.
package fake
