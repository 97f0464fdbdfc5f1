package measure

import (
	"fmt"
	"runtime"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/slots"
)

// Slope is a cost at several sizes with the line that fits it best.
type Slope struct {
	// At is the cost at each of Sizes.
	At        []float64 `json:"at"`
	Intercept float64   `json:"intercept"`
	Name      string    `json:"name"`
	Per       string    `json:"per"`
	// PerUnit is the slope of the line.
	PerUnit float64 `json:"per_unit"`
	Sizes   []int   `json:"sizes"`
	Unit    string  `json:"unit"`
}

// cost measures something at one size.
type cost struct {
	at    func(size int) float64
	name  string
	per   string
	sizes []int
	unit  string
}

const (
	// timingWindow is how long a decision is repeated to time it.
	timingWindow = 100 * time.Millisecond
	// tasksPerWorker is about that of the target: 4,300 tasks on 600 workers.
	tasksPerWorker = 7
)

// Slopes measures what state, messages and decisions cost at several sizes. Processor times are those of this
// machine and vary from run to run.
func Slopes() []Slope {
	workers := []int{40, 75, 150, 300, 600}
	shard := []int{10, 20, 40, 80}
	many := []int{500, 1000, 2000, 4000}
	var out []Slope
	for _, c := range []cost{
		{name: "placement of a batch task", unit: "us", per: "worker", sizes: workers, at: placeTime},
		{name: "route of a request", unit: "us", per: "backend server", sizes: workers, at: routeTime},
		{name: "admission of a request", unit: "us", per: "kind", sizes: []int{8, 50, 200, 600}, at: admitTime},
		{name: "tick of a shard owner", unit: "us", per: "worker of the shard", sizes: shard, at: tickTime},
		{name: "report of a worker", unit: "us", per: "worker of the shard", sizes: shard, at: reportTime},
		{name: "grant round for 8 hosts", unit: "us", per: "worker of the shard", sizes: shard, at: roundTime},
		{name: "application of a note", unit: "us", per: "item in force", sizes: many, at: noteTime},
		{name: "ledger in memory", unit: "bytes", per: "task", sizes: many, at: ledgerMemory},
		{name: "ledger snapshot", unit: "bytes", per: "task", sizes: many, at: ledgerSnapshot},
		{name: "ledger entries of starts and ends", unit: "bytes", per: "start and end", sizes: []int{1, 10, 50, 100}, at: ledgerEntries},
		{name: "catalogue in memory", unit: "bytes", per: "item", sizes: many, at: catalogueMemory},
		{name: "catalogue snapshot", unit: "bytes", per: "item", sizes: many, at: catalogueSnapshot},
		{name: "key table in memory", unit: "bytes", per: "key", sizes: many, at: keyMemory},
		{name: "host list in memory", unit: "bytes", per: "host", sizes: many, at: hostListMemory},
		{name: "peer heartbeat", unit: "bytes", per: "owned shard", sizes: []int{0, 1, 2, 4}, at: heartbeatBytes},
		{name: "grant that lists counts", unit: "bytes", per: "worker of the shard", sizes: shard, at: grantBytes},
		{name: "grant that renews", unit: "bytes", per: "worker of the shard", sizes: shard, at: renewalBytes},
	} {
		s := Slope{Name: c.name, Per: c.per, Sizes: c.sizes, Unit: c.unit}
		for _, size := range c.sizes {
			s.At = append(s.At, c.at(size))
		}
		s.PerUnit, s.Intercept = leastSquares(s.Sizes, s.At)
		out = append(out, s)
	}
	return out
}

// SlopeTable returns the slopes as rows below a heading.
func SlopeTable(slopes []Slope) [][]string {
	rows := [][]string{{"COST", "UNIT", "SIZES", "MEASURED", "SLOPE", "INTERCEPT"}}
	for _, s := range slopes {
		sizes, at := "", ""
		for i := range s.Sizes {
			sizes += fmt.Sprintf("%d ", s.Sizes[i])
			at += fmt.Sprintf("%.4g ", s.At[i])
		}
		rows = append(rows, []string{
			s.Name, s.Unit, sizes, at, fmt.Sprintf("%.4g per %s", s.PerUnit, s.Per), fmt.Sprintf("%.4g", s.Intercept),
		})
	}
	return rows
}

func leastSquares(sizes []int, at []float64) (slope, intercept float64) {
	var x, y, xx, xy float64
	n := float64(len(sizes))
	for i, size := range sizes {
		s := float64(size)
		x, y, xx, xy = x+s, y+at[i], xx+s*s, xy+s*at[i]
	}
	slope = (n*xy - x*y) / (n*xx - x*x)
	return slope, (y - slope*x) / n
}

// microseconds returns the mean time of f.
func microseconds(f func()) float64 {
	f()
	started, n := time.Now(), 0
	for time.Since(started) < timingWindow {
		f()
		n++
	}
	return float64(time.Since(started).Nanoseconds()) / float64(n) / 1000
}

// retained returns the heap that the value of f holds. The first run leaves what it allocates once to the second.
func retained[T any](f func() T) float64 {
	var before, after runtime.MemStats
	f()
	runtime.GC()
	runtime.GC() // what finalizers and pools hold is freed by the second collection
	runtime.ReadMemStats(&before)
	kept := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func heartbeatBytes(shards int) float64 {
	hb := peer.Heartbeat{Revision: 100_000}
	for i := range shards {
		hb.Owned = append(hb.Owned, peer.Owned{Epoch: 1000, FreePercent: 50, Index: i, Serving: true, Zone: "western-1"})
	}
	return float64(peer.Size(peer.Message{Heartbeat: &hb}))
}

func grantBytes(workers int) float64 { return grantSize(workers, 0) }

func renewalBytes(workers int) float64 { return grantSize(workers, 1) }

func grantSize(workers int, sameAs int64) float64 {
	g := slots.Grant{Epoch: 1000, Host: "western-1-entry-3#ABCDEFGH", SameAs: sameAs, Seq: 100_000, TTL: slots.DefaultTTL}
	g.Shard.Zone, g.Stamp = "western-1", slots.Stamp(time.Hour)
	if sameAs == 0 {
		g.Counts = map[string]int{}
		for i := range workers {
			g.Counts[fmt.Sprintf("western-1-worker-%03d", i)] = 1
		}
	}
	return float64(peer.Size(peer.Message{Grant: &peer.Grant{Connections: g, ReplicasVersion: 10, Slots: g}}))
}
