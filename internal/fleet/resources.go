package fleet

import (
	"fmt"
	"strings"
)

// Resources is a resource vector: what a worker offers or a task reserves in each dimension.
type Resources struct {
	Accelerators int64 `json:"accelerators,omitempty" toml:"accelerators"`
	// Connections is the number of long-running streams that a worker or a backend server can serve at once.
	Connections int64 `json:"connections,omitempty" toml:"connections"`
	CPUMilli    int64 `json:"cpu_milli,omitempty" toml:"cpu_milli"`
	MemoryMiB   int64 `json:"memory_mib,omitempty" toml:"memory_mib"`
	// Slots is the number of short requests that a worker or a backend server can run at once.
	Slots int64 `json:"slots,omitempty" toml:"slots"`
}

// Add returns the sum of r and o in each dimension.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		Accelerators: r.Accelerators + o.Accelerators,
		Connections:  r.Connections + o.Connections,
		CPUMilli:     r.CPUMilli + o.CPUMilli,
		MemoryMiB:    r.MemoryMiB + o.MemoryMiB,
		Slots:        r.Slots + o.Slots,
	}
}

// FitsIn reports whether r is at most o in every dimension.
func (r Resources) FitsIn(o Resources) bool {
	return r.Accelerators <= o.Accelerators &&
		r.Connections <= o.Connections &&
		r.CPUMilli <= o.CPUMilli &&
		r.MemoryMiB <= o.MemoryMiB &&
		r.Slots <= o.Slots
}

// DominantShare returns the largest fraction of o that r takes in any dimension, as in dominant resource fairness.
// Dimensions that o lacks are ignored; it is 0 if r is zero.
func (r Resources) DominantShare(o Resources) float64 {
	largest := 0.0
	for _, amounts := range [][2]int64{
		{r.Accelerators, o.Accelerators},
		{r.Connections, o.Connections},
		{r.CPUMilli, o.CPUMilli},
		{r.MemoryMiB, o.MemoryMiB},
		{r.Slots, o.Slots},
	} {
		if amounts[0] > 0 && amounts[1] > 0 {
			largest = max(largest, float64(amounts[0])/float64(amounts[1]))
		}
	}
	return largest
}

// HasNegative reports whether any dimension is below zero.
func (r Resources) HasNegative() bool {
	return r.Accelerators < 0 || r.Connections < 0 || r.CPUMilli < 0 || r.MemoryMiB < 0 || r.Slots < 0
}

// String returns the dimensions that are not zero, such as "cpu_milli=500 slots=2".
func (r Resources) String() string {
	var parts []string
	for _, d := range []struct {
		name   string
		amount int64
	}{
		{"cpu_milli", r.CPUMilli},
		{"memory_mib", r.MemoryMiB},
		{"accelerators", r.Accelerators},
		{"slots", r.Slots},
		{"connections", r.Connections},
	} {
		if d.amount != 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", d.name, d.amount))
		}
	}
	return strings.Join(parts, " ")
}

// Sub returns r minus o in each dimension.
func (r Resources) Sub(o Resources) Resources {
	return r.Add(o.Times(-1))
}

// Times returns r multiplied by n in each dimension.
func (r Resources) Times(n int64) Resources {
	return Resources{
		Accelerators: r.Accelerators * n,
		Connections:  r.Connections * n,
		CPUMilli:     r.CPUMilli * n,
		MemoryMiB:    r.MemoryMiB * n,
		Slots:        r.Slots * n,
	}
}
