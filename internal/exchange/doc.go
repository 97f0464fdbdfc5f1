// Package exchange decides which classes of waiting tasks the owner of a shard asks another shard to make room for. It does no I/O.
package exchange
