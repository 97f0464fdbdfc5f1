// Package host is the daemon of an entry host: it connects the decisions with the platform, the workers,
// the peers, the callers and the operators.
package host
