// Package integration holds tests that run entry hosts as separate processes, connected to fake workers and a fake
// platform by proxies that inject faults.
package integration
