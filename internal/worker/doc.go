// Package worker defines the wire types and a client of the workers' HTTP interface.
package worker
