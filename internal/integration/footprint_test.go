package integration_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
)

var footprint = flag.Bool("footprint", false, "measure what entry hosts cost at several sizes")

const (
	footprintTasks  = 5 // batch tasks on each worker
	footprintWindow = 20 * time.Second
	// ticksPerSecond is the unit of processor times in /proc.
	ticksPerSecond = 100
)

// largerQuota lets the batch tasks of the largest size run.
const largerQuota = `
id = "larger-quota"
changed = [{kind = "team", name = "rooms", quota = {cpu_milli = 9000000, memory_mib = 9000000}, share = 0.9}]
`

// usage is what an entry host has used since it started.
type usage struct {
	cpu                     time.Duration
	platform, peer, workers int64 // bytes
	resident                int64
}

// TestFootprint prints the processor time, memory and traffic of the entry hosts of a zone whose services and
// batch tasks run and whose callers are idle. It guards no failure and runs only with -footprint.
func TestFootprint(t *testing.T) {
	if !*footprint {
		t.Skip("runs with -footprint only")
	}
	fmt.Println("hosts  workers  tasks  role    cpu_percent  memory_mib  worker_bytes_s  peer_bytes_s  platform_bytes_s  store_writes_s  store_reads_s")
	for _, size := range []struct{ hosts, workers int }{{2, 8}, {2, 16}, {2, 32}, {2, 64}, {4, 8}, {6, 8}, {8, 8}} {
		workers := size.workers
		t.Run(fmt.Sprintf("%d hosts %d workers", size.hosts, workers), func(t *testing.T) {
			c := startFleet(t, fleet{
				checkpoints: 5 * time.Minute, runTime: time.Hour, zones: []zone{{"wattala", size.hosts, workers}},
			})
			owner, other := c.roles("wattala")
			c.publish(owner, largerQuota)
			tasks := footprintTasks * workers
			c.submit(owner, "job", tasks)
			c.awaitRunning(owner, "job", tasks)
			time.Sleep(10 * time.Second) // starts and their commits settle
			calls := c.platform.Counts()
			before := map[*entry]usage{owner: c.usage(owner, true), other: c.usage(other, false)}
			time.Sleep(footprintWindow)
			after := c.platform.Counts()
			for e, role := range map[*entry]string{owner: "owner", other: "other"} {
				was, is := before[e], c.usage(e, e == owner)
				second := footprintWindow.Seconds()
				fmt.Printf("%5d  %7d  %5d  %-6s  %11.2f  %10.1f  %14.0f  %12.0f  %16.0f  %14.2f  %13.2f\n", size.hosts, workers, tasks, role,
					100*(is.cpu-was.cpu).Seconds()/second, float64(is.resident)/(1<<20),
					float64(is.workers-was.workers)/second, float64(is.peer-was.peer)/second,
					float64(is.platform-was.platform)/second,
					float64(after.Writes-calls.Writes)/second, float64(after.Reads-calls.Reads)/second)
			}
		})
	}
}

// usage reads a process's use from /proc and the traffic from its links; all links to workers are the owner's.
func (c *cluster) usage(e *entry, isOwner bool) usage {
	c.t.Helper()
	pid := e.process.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(c.t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	assert.NilError(c.t, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	assert.NilError(c.t, err)
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	assert.NilError(c.t, err)
	u := usage{
		cpu:      time.Duration(user+system) * time.Second / ticksPerSecond,
		platform: e.links["platform"].Forwarded(),
		resident: pages * int64(os.Getpagesize()),
	}
	// A pair of hosts shares one connection, which the host with the lower id opens to the other's proxy; the sum
	// over the zone is printed as the share of one host.
	for _, peer := range c.entries {
		u.peer += 2 * peer.links["peer"].Forwarded() / int64(len(c.entries))
	}
	if isOwner {
		u.workers = forwarded(c.links)
	}
	return u
}

func forwarded(links map[string]*fake.Proxy) int64 {
	var sum int64
	for _, link := range links {
		sum += link.Forwarded()
	}
	return sum
}
