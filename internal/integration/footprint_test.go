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
	// ticksPerSecond is the number of clock ticks per second, in which /proc counts processor time (USER_HZ).
	ticksPerSecond = 100
)

// largerQuotaNote raises the quota so that the batch tasks of the largest size can run.
const largerQuotaNote = `
id = "larger-quota"
changed = [{kind = "team", name = "rooms", quota = {cpu_milli = 9000000, memory_mib = 9000000}, share = 0.9}]
`

// usage is the processor time and traffic of an entry host since it started, and its present memory.
type usage struct {
	cpu                     time.Duration
	platform, peer, workers int64 // bytes
	resident                int64 // bytes
}

// TestFootprint prints the processor time, memory and traffic of the entry hosts of a zone in which services and batch
// tasks run and no caller sends requests. It is a measurement that checks nothing, and runs only with -footprint.
func TestFootprint(t *testing.T) {
	if !*footprint {
		t.Skip("runs with -footprint only")
	}
	fmt.Println("hosts  workers  tasks  role    cpu_percent  memory_mib  worker_bytes_s  peer_bytes_s  platform_bytes_s  store_writes_s  store_reads_s")
	for _, size := range []struct{ hosts, workers int }{{2, 8}, {2, 16}, {2, 32}, {2, 64}, {4, 8}, {6, 8}, {8, 8}} {
		workers := size.workers
		t.Run(fmt.Sprintf("%d hosts %d workers", size.hosts, workers), func(t *testing.T) {
			c := startCluster(t, clusterConfig{
				checkpointInterval: 5 * time.Minute, runTime: time.Hour, zones: []zoneSize{{"wattala", size.hosts, workers}},
			})
			owner, other := c.ownerAndOther("wattala")
			c.publish(owner, largerQuotaNote)
			tasks := footprintTasks * workers
			c.submit(owner, "job", tasks)
			c.awaitRunning(owner, "job", tasks)
			time.Sleep(10 * time.Second) // until the starts of the tasks cause no more traffic
			calls := c.platform.Counts()
			before := map[*entryHost]usage{owner: c.usage(owner, true), other: c.usage(other, false)}
			time.Sleep(footprintWindow)
			after := c.platform.Counts()
			for e, role := range map[*entryHost]string{owner: "owner", other: "other"} {
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

// usage reads processor time and memory of the process from /proc and its traffic from the proxies. The traffic of all
// workers is counted as the owner's.
func (c *cluster) usage(e *entryHost, isOwner bool) usage {
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
		platform: e.proxies["platform"].Forwarded(),
		resident: pages * int64(os.Getpagesize()),
	}
	// Each pair of entry hosts shares one connection, which the host with the lower id opens to the other's proxy. The
	// traffic therefore can't be told apart by host, and each is given the mean over the zone.
	for _, peer := range c.entries {
		u.peer += 2 * peer.proxies["peer"].Forwarded() / int64(len(c.entries))
	}
	if isOwner {
		u.workers = totalForwarded(c.workerProxies)
	}
	return u
}

// totalForwarded returns the bytes that all proxies together have forwarded.
func totalForwarded(proxies map[string]*fake.Proxy) int64 {
	var sum int64
	for _, proxy := range proxies {
		sum += proxy.Forwarded()
	}
	return sum
}
