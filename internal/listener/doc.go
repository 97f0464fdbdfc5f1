// Package listener runs the HTTP servers of a process.
package listener
