// Package slots shares the slots and connections of backend servers between entry hosts by leases.
//
// The owner of a shard runs one Granter for slots and one for connections; each entry host runs one
// Wallet for each. A host's id names one run of its process, so a restarted host has a new id.
package slots
