package integration_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	lr "github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// leavingGrace is the time after which a leaving worker must receive no new request (docs/design.md, section 1).
const leavingGrace = 3 * time.Second

// Guards against several entry hosts that together exceed the capacity of a worker, with requests or with tasks. The
// workers record each request or start beyond their capacity as a violation in the journal.
func TestCapacity(t *testing.T) {
	startParallel(t)
	c := startCluster(t, clusterConfig{zones: []zoneSize{{"wattala", 3, 2}}, serviceTime: 20 * time.Millisecond})
	l := c.startLoad(40, c.runningEntries)
	// A worker has room for 7 of these tasks at once, so the 120 tasks of the flood don't fit in the zone together.
	for _, id := range []string{"flood-1", "flood-2", "flood-3"} {
		c.submit(c.entries[0], id, 40)
	}
	for _, id := range []string{"flood-1", "flood-2", "flood-3"} {
		c.awaitDone(c.entries[1], id, 40)
	}
	l.awaitMore(c, 200)
	l.stop()
	for id, w := range c.workers {
		assert.Check(t, w.PeakSlots() <= 8, "%s ran %d requests at once, which exceeds its 8 slots", id, w.PeakSlots())
		assert.Check(t, w.PeakSlots() > 1, "%s ran only %d requests at once", id, w.PeakSlots())
	}
}

// Guards against requests and starts that are sent to a worker which the host list shows as leaving.
func TestLeavingWorker(t *testing.T) {
	startParallel(t)
	c := startCluster(t, clusterConfig{zones: []zoneSize{{"wattala", 2, 3}}})
	leaving := "wattala-worker-1"
	l := c.startLoad(8, c.runningEntries)
	defer l.stop()
	l.awaitMore(c, 100)
	c.platform.SetHost(c.workerRecord(leaving, "wattala").WithState(fleet.StateLeaving))
	for _, e := range c.entries {
		eventually(t, "leaving at "+e.id, func() error {
			s, err := e.client(t).Status(context.Background())
			for _, w := range s.Workers {
				if w.ID == leaving && w.Leaving {
					return err
				}
			}
			return eris.Errorf("%+v (%v)", s.Workers, err)
		})
	}
	time.Sleep(leavingGrace)
	graceEnd := time.Now()
	c.submit(c.entries[0], "job", 20)
	c.awaitDone(c.entries[0], "job", 20)
	l.awaitMore(c, 200)
	for _, e := range c.journal.Executions() {
		assert.Check(t, e.Worker != leaving || e.At.Before(graceEnd), "request %s ran on the leaving worker", e.ID)
	}
	for _, r := range c.journal.Runs() {
		assert.Check(t, r.Worker != leaving || r.Start.Before(graceEnd), "task %s started on the leaving worker", r.Task)
	}
}

// Guards against a graceful stop that aborts requests in flight, ends feeds without a reconnect line or exits with an
// error.
func TestGracefulStop(t *testing.T) {
	startParallel(t)
	c := startCluster(t, clusterConfig{zones: []zoneSize{{"wattala", 2, 3}}, serviceTime: 400 * time.Millisecond})
	owner, _ := c.ownerAndOther("wattala")
	feed, err := owner.client(t).Do(context.Background(), "alarms", http.MethodGet, "/all", nil, lr.WithStream())
	assert.NilError(t, err)
	defer func() { _ = feed.Body.Close() }()

	// The callers send requests only while the host is ready, as a load balancer does.
	var mu sync.Mutex
	var aborted []reply
	l := &loadGenerator{}
	for range 8 {
		l.callerGroup.Go(func() {
			for c.isReady(owner) {
				r := c.send(owner, "orders", "")
				if r.err != nil || r.outcome == "unknown" {
					mu.Lock()
					aborted = append(aborted, r)
					mu.Unlock()
				}
				l.count(r)
			}
		})
	}
	l.awaitMore(c, 8)
	assert.Equal(t, owner.terminate(t), 0)
	l.stop()
	assert.Equal(t, len(aborted), 0, "%+v", aborted)
	events, err := io.ReadAll(feed.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(events), "\nreconnect\n"), "%q", events)
}

func (c *cluster) isReady(e *entryHost) bool {
	res, err := c.http.Get(e.url() + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

// Guards against an outage of the platform store during which requests fail or accepted tasks don't run, and against ends
// of tasks in that time that are lost.
func TestPlatformOutage(t *testing.T) {
	startParallel(t)
	c := startCluster(t, clusterConfig{zones: []zoneSize{{"wattala", 2, 2}}, runTime: 2 * time.Second})
	l := c.startLoad(6, c.runningEntries)
	defer l.stop()
	c.submit(c.entries[0], "job", 24)
	c.awaitJob(c.entries[0], "job", "accepted", func(n lr.PhaseCounts) bool { return n.Bound+n.Running+n.Done == 24 })
	c.platform.SetFaults(fake.PlatformFaults{Down: true})
	outageStart := time.Now()
	for time.Since(outageStart) < 20*time.Second {
		l.awaitMore(c, 50)
	}
	eventually(t, "ends of all tasks during the outage", func() error {
		ended := map[string]bool{}
		for _, r := range c.journal.Runs() {
			if isBatch(r) && !r.End.IsZero() {
				ended[r.Task] = true
			}
		}
		return errorUnless(len(ended) == 24, "%d of 24 tasks", len(ended))
	})
	c.platform.SetFaults(fake.PlatformFaults{})
	c.awaitDone(c.entries[1], "job", 24)
	c.submit(c.entries[0], "after", 4)
	c.awaitDone(c.entries[0], "after", 4)
	// The ends were written to the store after the outage, so they must survive a crash of the owner.
	owner, other := c.ownerAndOther("wattala")
	owner.kill(t)
	c.awaitTakeover(owner, other)
	c.awaitDone(other, "job", 24)
}

// Guards against jobs and idempotency keys that are not served again after all entry hosts have crashed at once.
func TestAllEntryHostsCrash(t *testing.T) {
	startParallel(t)
	c := startCluster(t, clusterConfig{zones: []zoneSize{{"wattala", 2, 2}}, runTime: 4 * time.Second})
	c.submit(c.entries[0], "job", 10)
	c.awaitRunning(c.entries[0], "job", 10)
	for _, e := range c.entries {
		e.kill(t)
	}
	for _, e := range c.entries {
		e.start(t)
	}
	c.awaitServices(c.entries...)
	c.awaitKeys("wattala", c.entries...)
	c.awaitDone(c.entries[0], "job", 10)
}

// Guards against connections that stay open but deliver no more data and are never replaced.
func TestBlackholedConnections(t *testing.T) {
	startParallel(t)
	for _, blackholed := range []string{"worker", "peer", "platform", "all"} {
		t.Run(blackholed, func(t *testing.T) {
			startParallel(t)
			c := startCluster(t, clusterConfig{zones: []zoneSize{{"wattala", 2, 2}, {"kadawatha", 1, 2}}, settings: "[limits]\nrequest_timeout = \"2s\"\n"})
			for _, e := range c.entries {
				for kind, proxy := range e.proxies {
					if blackholed == kind || blackholed == "all" {
						proxy.Blackhole()
					}
				}
			}
			for _, proxy := range c.workerProxies {
				if blackholed == "worker" || blackholed == "all" {
					proxy.Blackhole()
				}
			}
			c.awaitRevision(c.publish(c.entries[2], changeNote("late", 1, "added", "late")), c.entries...)
			c.awaitServices(c.entries...)
			c.awaitKeys("wattala", c.entries...)
			c.submit(c.entries[0], "job", 4)
			c.awaitDone(c.entries[2], "job", 4)
		})
	}
}
