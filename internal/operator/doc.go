// Package operator is the HTTP interface of an entry host for operators.
package operator
