// Package clientmemory bounds the memory and the connections that clients of a process use. It decides without I/O; package listener and the
// handlers of requests ask it before they keep what they receive.
package clientmemory
