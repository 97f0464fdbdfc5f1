package integration_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	hostlist "github.com/laburnumridge/laburnumridge/internal/fleet"
	lr "github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// leavingBound is the time after which a leaving worker may receive no new request (docs/design.md, section 1).
const leavingBound = 3 * time.Second

// Guards against entry hosts that together give a worker more than it holds, in requests or in tasks. A request or
// start beyond the capacity is a fault in the journal.
func TestCapacity(t *testing.T) {
	begin(t)
	c := startFleet(t, fleet{zones: []zone{{"wattala", 3, 2}}, serviceTime: 20 * time.Millisecond})
	l := c.startLoad(40, c.live)
	// A worker holds 7 tasks at once; the flood is larger than the zone.
	for _, id := range []string{"flood-1", "flood-2", "flood-3"} {
		c.submit(c.entries[0], id, 40)
	}
	for _, id := range []string{"flood-1", "flood-2", "flood-3"} {
		c.awaitDone(c.entries[1], id, 40)
	}
	l.awaitMore(c, 200)
	l.stop()
	for id, w := range c.workers {
		assert.Check(t, w.PeakSlots() <= 8, "%s ran %d requests at once", id, w.PeakSlots())
		assert.Check(t, w.PeakSlots() > 1, "%s ran %d requests at once", id, w.PeakSlots())
	}
}

// Guards against requests and starts that a worker receives although the host list shows it as leaving.
func TestLeavingWorker(t *testing.T) {
	begin(t)
	c := startFleet(t, fleet{zones: []zone{{"wattala", 2, 3}}})
	leaving := "wattala-worker-1"
	l := c.startLoad(8, c.live)
	defer l.stop()
	l.awaitMore(c, 100)
	c.platform.SetHost(c.workerRecord(leaving, "wattala").WithState(hostlist.StateLeaving))
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
	time.Sleep(leavingBound)
	mark := time.Now()
	c.submit(c.entries[0], "job", 20)
	c.awaitDone(c.entries[0], "job", 20)
	l.awaitMore(c, 200)
	for _, e := range c.journal.Executions() {
		assert.Check(t, e.Worker != leaving || e.At.Before(mark), "request %s ran on the leaving worker", e.ID)
	}
	for _, r := range c.journal.Runs() {
		assert.Check(t, r.Worker != leaving || r.Start.Before(mark), "task %s started on the leaving worker", r.Task)
	}
}

// Guards against a planned stop that cuts off requests in flight, ends feeds without a reconnect hint or fails.
func TestGracefulStop(t *testing.T) {
	begin(t)
	c := startFleet(t, fleet{zones: []zone{{"wattala", 2, 3}}, serviceTime: 400 * time.Millisecond})
	owner, _ := c.roles("wattala")
	feed := make(chan string, 1)
	opened := make(chan error, 1)
	go func() { feed <- c.readFeed(owner, opened) }()
	assert.NilError(t, <-opened)

	// A balancer sends a request only to a host that is ready.
	var mu sync.Mutex
	var cutOff []reply
	l := &load{}
	for range 8 {
		l.all.Go(func() {
			for c.isReady(owner) {
				r := c.ask(owner, "orders", "")
				if r.err != nil || r.outcome == "unknown" {
					mu.Lock()
					cutOff = append(cutOff, r)
					mu.Unlock()
				}
				l.count(r)
			}
		})
	}
	l.awaitMore(c, 8)
	assert.Equal(t, owner.terminate(t), 0)
	l.stop()
	assert.Equal(t, len(cutOff), 0, "%+v", cutOff)
	assert.Equal(t, <-feed, "reconnect<nil>")
}

func (c *cluster) isReady(e *entry) bool {
	res, err := c.http.Get(e.url() + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

// readFeed reads a feed to its end and returns its last line.
func (c *cluster) readFeed(e *entry, opened chan<- error) string {
	answer, err := e.client(c.t).Do(context.Background(), "alarms", http.MethodGet, "/all", nil, lr.WithStream())
	opened <- err
	if err != nil {
		return ""
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return fmt.Sprint(lines[len(lines)-1], err)
}

// Guards against an outage of the platform that stops requests or accepted tasks, and against ends that are lost.
func TestPlatformOutage(t *testing.T) {
	begin(t)
	c := startFleet(t, fleet{zones: []zone{{"wattala", 2, 2}}, runTime: 2 * time.Second})
	l := c.startLoad(6, c.live)
	defer l.stop()
	c.submit(c.entries[0], "job", 24)
	c.awaitJob(c.entries[0], "job", "accepted", func(n lr.PhaseCounts) bool { return n.Bound+n.Running+n.Done == 24 })
	c.platform.SetFaults(fake.PlatformFaults{Down: true})
	began := time.Now()
	for time.Since(began) < 20*time.Second {
		l.awaitMore(c, 50)
	}
	eventually(t, "ends of the tasks before the platform is back", func() error {
		ended := map[string]bool{}
		for _, r := range c.journal.Runs() {
			if isBatch(r) && !r.End.IsZero() {
				ended[r.Task] = true
			}
		}
		return want(len(ended) == 24, "%d of 24 tasks", len(ended))
	})
	c.platform.SetFaults(fake.PlatformFaults{})
	c.awaitDone(c.entries[1], "job", 24)
	c.submit(c.entries[0], "after", 4)
	c.awaitDone(c.entries[0], "after", 4)
	// The flushed ends outlive the owner.
	owner, other := c.roles("wattala")
	owner.kill(t)
	c.awaitTakeover(owner, other)
	c.awaitDone(other, "job", 24)
}

// Guards against a fleet that doesn't come back when all its entry hosts crash at once.
func TestAllEntryHostsCrash(t *testing.T) {
	begin(t)
	c := startFleet(t, fleet{zones: []zone{{"wattala", 2, 2}}, runTime: 4 * time.Second})
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

// Guards against open connections that went silent for good and are never replaced.
func TestSilentConnections(t *testing.T) {
	begin(t)
	for _, silenced := range []string{"worker", "peer", "platform", "all"} {
		t.Run(silenced, func(t *testing.T) {
			begin(t)
			c := startFleet(t, fleet{zones: []zone{{"wattala", 2, 2}, {"kadawatha", 1, 2}}, settings: "[limits]\nrequest_timeout = \"2s\"\n"})
			for _, e := range c.entries {
				for kind, link := range e.links {
					if silenced == kind || silenced == "all" {
						link.Silence()
					}
				}
			}
			for _, link := range c.links {
				if silenced == "worker" || silenced == "all" {
					link.Silence()
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
