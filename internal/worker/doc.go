// Package worker holds the wire types and the client of the worker's HTTP interface.
package worker
