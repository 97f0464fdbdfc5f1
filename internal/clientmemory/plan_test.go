package clientmemory_test

import (
	"math"
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
)

// Guards against shares that together leave too little for the host's own work, or that clients within the platform's limits reach: 60 client
// connections and 2.6 times 45 submissions a second, all at one host and from one address, each with a body of 262,144 bytes that takes 0.5 s.
func TestSharesOfSmallestMachine(t *testing.T) {
	const memory = 184_000_000
	p := clientmemory.NewPlan(memory)
	connections := p.Callers.Connections + p.Peers.Connections + 2*p.Operators.Connections
	bytes := p.Callers.Bytes + p.Peers.Bytes + p.Operators.Bytes
	assert.Assert(t, int64(connections)*100<<10+bytes <= memory*2/3, "%d connections, %d bytes", connections, bytes)
	assert.Assert(t, p.Callers.Connections*3/4 >= 2.6*60, "%d connections", p.Callers.Connections)
	assert.Assert(t, float64(p.Callers.Bytes)*3/4 >= 2.6*45/2*(262_144+16<<10), "%d bytes", p.Callers.Bytes)
	assert.Assert(t, p.Peers.Connections*3/4 >= 2*32 && p.Peers.Bytes*3/4 >= 2*4<<20, "%+v", p.Peers)
}

// Guards against a process on the smallest machine that has no place for any connection.
func TestEachKindHasConnections(t *testing.T) {
	p := clientmemory.NewPlan(1)
	for _, s := range []clientmemory.Share{p.Callers, p.Operators, p.Peers} {
		assert.Assert(t, s.Connections > 0)
	}
}

// Guards against a default that ignores the limit of the Go runtime.
func TestMachineMemory(t *testing.T) {
	before := debug.SetMemoryLimit(160 << 20)
	defer debug.SetMemoryLimit(before)
	assert.Equal(t, clientmemory.MachineMemory(0), int64(176<<20))
	assert.Equal(t, clientmemory.MachineMemory(411.5), int64(411_500_000))
	debug.SetMemoryLimit(math.MaxInt64)
	assert.Equal(t, clientmemory.MachineMemory(0), int64(1<<30))
}
