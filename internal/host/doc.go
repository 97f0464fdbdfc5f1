// Package host implements the daemon of an entry host. It connects the packages that make decisions with the
// platform, the workers, the peers, the callers and the operators.
package host
