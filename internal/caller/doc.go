// Package caller is the HTTP interface of an entry host for callers.
package caller
