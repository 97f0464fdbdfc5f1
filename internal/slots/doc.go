// Package slots leases the slots and connections of backend servers to entry hosts.
//
// The owner of a shard runs one Granter for slots and one for connections. Each entry host keeps one
// pool of granted slots and one of granted connections. The types of this package say "slots" for
// both. A host id identifies one run of the host's process, so a restarted host has a new id.
package slots
