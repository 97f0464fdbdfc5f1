// Package laburnumridge is a client of the entry hosts' HTTP interfaces for callers and operators, with the wire types.
package laburnumridge
