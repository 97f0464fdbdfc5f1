// Package explain keeps the latest decisions of a host, so that they can be explained later.
package explain
