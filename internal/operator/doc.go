// Package operator implements the HTTP interface of an entry host for operators.
package operator
