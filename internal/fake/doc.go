// Package fake holds stand-ins of external systems for tests: the platform, workers and faulty links.
package fake
