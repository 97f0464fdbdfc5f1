// Package caller implements the HTTP interface of an entry host for callers.
package caller
