// Package laburnumridge is the client of entry hosts, for operators and callers, with its wire types.
package laburnumridge
