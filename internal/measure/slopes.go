package measure

import (
	"fmt"
	"runtime"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/slots"
)

// Slope is a cost measured at several sizes, with the least-squares line through the measurements.
type Slope struct {
	// Costs are the measured costs at Sizes.
	Costs     []float64 `json:"at"`
	Intercept float64   `json:"intercept"`
	Name      string    `json:"name"`
	Per       string    `json:"per"`
	// PerUnit is the slope of the line: the cost of one more Per.
	PerUnit float64 `json:"per_unit"`
	Sizes   []int   `json:"sizes"`
	Unit    string  `json:"unit"`
}

// cost is a cost to measure: its name, its unit and the sizes at which measure is called.
type cost struct {
	measure func(size int) float64
	name    string
	per     string
	sizes   []int
	unit    string
}

const (
	// timingWindow is how long a decision is repeated to measure its mean time.
	timingWindow = 100 * time.Millisecond
	// tasksPerWorker follows from the target size of 4,300 tasks on 600 workers.
	tasksPerWorker = 7
)

// Slopes measures the memory of state, the size of messages and the processor time of decisions at several sizes.
// Processor times depend on the machine and vary from run to run.
func Slopes() []Slope {
	workerCounts := []int{40, 75, 150, 300, 600}
	shardSizes := []int{10, 20, 40, 80}
	stateSizes := []int{500, 1000, 2000, 4000}
	var out []Slope
	for _, c := range []cost{
		{name: "placement of a batch task", unit: "us", per: "worker", sizes: workerCounts, measure: placeTime},
		{name: "route of a request", unit: "us", per: "backend server", sizes: workerCounts, measure: routeTime},
		{name: "admission of a request", unit: "us", per: "kind", sizes: []int{8, 50, 200, 600}, measure: admissionTime},
		{name: "tick of a shard owner", unit: "us", per: "worker of the shard", sizes: shardSizes, measure: tickTime},
		{name: "report of a worker", unit: "us", per: "worker of the shard", sizes: shardSizes, measure: reportTime},
		{name: "grant round for 8 hosts", unit: "us", per: "worker of the shard", sizes: shardSizes, measure: grantRoundTime},
		{name: "application of a note", unit: "us", per: "item in force", sizes: stateSizes, measure: noteApplyTime},
		{name: "ledger in memory", unit: "bytes", per: "task", sizes: stateSizes, measure: ledgerMemory},
		{name: "ledger snapshot", unit: "bytes", per: "task", sizes: stateSizes, measure: ledgerSnapshot},
		{name: "ledger entries of starts and ends", unit: "bytes", per: "start and end", sizes: []int{1, 10, 50, 100}, measure: ledgerEntryBytes},
		{name: "catalogue in memory", unit: "bytes", per: "item", sizes: stateSizes, measure: catalogueMemory},
		{name: "catalogue snapshot", unit: "bytes", per: "item", sizes: stateSizes, measure: catalogueSnapshot},
		{name: "key table in memory", unit: "bytes", per: "key", sizes: stateSizes, measure: keyTableMemory},
		{name: "host list in memory", unit: "bytes", per: "host", sizes: stateSizes, measure: hostListMemory},
		{name: "peer heartbeat", unit: "bytes", per: "owned shard", sizes: []int{0, 1, 2, 4}, measure: heartbeatBytes},
		{name: "grant that lists counts", unit: "bytes", per: "worker of the shard", sizes: shardSizes, measure: grantBytes},
		{name: "grant that renews", unit: "bytes", per: "worker of the shard", sizes: shardSizes, measure: renewalBytes},
	} {
		s := Slope{Name: c.name, Per: c.per, Sizes: c.sizes, Unit: c.unit}
		for _, size := range c.sizes {
			s.Costs = append(s.Costs, c.measure(size))
		}
		s.PerUnit, s.Intercept = leastSquares(s.Sizes, s.Costs)
		out = append(out, s)
	}
	return out
}

// SlopeTable formats the slopes as a table; its first row holds the headings.
func SlopeTable(slopes []Slope) [][]string {
	rows := [][]string{{"COST", "UNIT", "SIZES", "MEASURED", "SLOPE", "INTERCEPT"}}
	for _, s := range slopes {
		sizes, costs := "", ""
		for i := range s.Sizes {
			sizes += fmt.Sprintf("%d ", s.Sizes[i])
			costs += fmt.Sprintf("%.4g ", s.Costs[i])
		}
		rows = append(rows, []string{
			s.Name, s.Unit, sizes, costs, fmt.Sprintf("%.4g per %s", s.PerUnit, s.Per), fmt.Sprintf("%.4g", s.Intercept),
		})
	}
	return rows
}

// leastSquares fits a line to the costs at the given sizes.
func leastSquares(sizes []int, costs []float64) (slope, intercept float64) {
	var x, y, xx, xy float64
	n := float64(len(sizes))
	for i, size := range sizes {
		s := float64(size)
		x, y, xx, xy = x+s, y+costs[i], xx+s*s, xy+s*costs[i]
	}
	slope = (n*xy - x*y) / (n*xx - x*x)
	return slope, (y - slope*x) / n
}

// meanMicroseconds returns the mean time of a call of f, after one call that is not measured.
func meanMicroseconds(f func()) float64 {
	f()
	started, n := time.Now(), 0
	for time.Since(started) < timingWindow {
		f()
		n++
	}
	return float64(time.Since(started).Nanoseconds()) / float64(n) / 1000
}

// retainedHeap returns the bytes of heap that the result of f holds. f runs once before the measurement, so that
// allocations which happen only once are not counted.
func retainedHeap[T any](f func() T) float64 {
	var before, after runtime.MemStats
	f()
	runtime.GC()
	runtime.GC() // memory held by finalizers and pools is freed by the second collection only
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
		hb.Owned = append(hb.Owned, peer.OwnedShard{Epoch: 1000, FreePercent: 50, Index: i, ServesKeys: true, Zone: "western-1"})
	}
	return float64(peer.Size(peer.Message{Heartbeat: &hb}))
}

func grantBytes(workers int) float64 { return grantSize(workers, 0) }

func renewalBytes(workers int) float64 { return grantSize(workers, 1) }

// grantSize returns the size of a grant message. A grant with sameAs set renews an earlier one and lists no counts.
func grantSize(workers int, sameAs int64) float64 {
	g := slots.Grant{Epoch: 1000, Host: "western-1-entry-3#ABCDEFGH", RenewedSeq: sameAs, Seq: 100_000, TTL: slots.DefaultTTL}
	g.Shard.Zone, g.Stamp = "western-1", slots.Stamp(time.Hour)
	if sameAs == 0 {
		g.Counts = map[string]int{}
		for i := range workers {
			g.Counts[fmt.Sprintf("western-1-worker-%03d", i)] = 1
		}
	}
	return float64(peer.Size(peer.Message{Grant: &peer.Grant{Connections: g, ReplicasVersion: 10, Slots: g}}))
}
