// Package integration holds the tests that run real entry hosts behind fault-injecting proxies.
package integration
