package clientmemory

import (
	"math"
	"runtime/debug"
)

const (
	// defaultMemory is the memory of the machine if neither the settings nor GOMEMLIMIT say anything. At connectionBytes each it is enough
	// for the default of limits.max_connections.
	defaultMemory = 1 << 30
	// connectionBytes is the machine's memory per connection. A connection costs up to about 100 KiB: 64 KiB in the kernel's receive buffer,
	// 17 KiB of buffers, stacks and state in net/http, and what headers and bodies cost that are free of charge.
	connectionBytes = 256 << 10
	// minConnections is the least number of connections of a kind of client.
	minConnections = 8
)

// Share is what the clients of one kind may use.
type Share struct {
	// Bytes limits received headers, bodies and messages that are not worked off yet.
	Bytes       int64
	Connections int
}

// Plan divides the memory of a machine. The shares of the kinds of clients are separate, so that each keeps its own when others use theirs
// up. Three quarters of the memory remain for the host's own work, for which it calls workers and the store.
type Plan struct {
	// Callers send requests or jobs.
	Callers Share
	// Operators call the operators' interface, and read metrics and readiness; the connections are those of each such listener.
	Operators Share
	// Peers are other entry hosts.
	Peers Share
}

// NewPlan returns the plan for a machine with the given memory in bytes.
func NewPlan(memory int64) Plan {
	connections := memory / connectionBytes
	share := func(bytes, connections int64) Share {
		return Share{Bytes: bytes, Connections: int(max(connections, minConnections))}
	}
	return Plan{
		Callers:   share(memory/8, connections*5/8),
		Operators: share(memory/32, connections/16),
		Peers:     share(memory/10, connections/4),
	}
}

// MachineMemory returns the memory in bytes of a machine with the configured number of megabytes (10^6 bytes). If that is 0, it is 1.1 times
// the Go runtime's memory limit (GOMEMLIMIT), as on machines of 184 MB with a limit of 160 MiB, or 1 GiB without a limit.
func MachineMemory(megabytes float64) int64 {
	if megabytes > 0 {
		return int64(megabytes * 1e6)
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64/2 {
		return limit + limit/10
	}
	return defaultMemory
}
