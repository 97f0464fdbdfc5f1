package integration_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
)

const requestsPerTest = 12

// keyedRequest is a request that is sent several times with the same idempotency key.
type keyedRequest struct {
	id, key string
	mu      sync.Mutex
	replies []reply
}

func (k *keyedRequest) send(c *cluster, e *entryHost) reply {
	r := c.sendWithID(e, "orders", k.key, k.id)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replies = append(k.replies, r)
	return r
}

func (k *keyedRequest) isDone() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(k.replies, func(r reply) bool { return r.outcome == "done" })
}

// sendAll sends each request to each of the entry hosts concurrently.
func sendAll(c *cluster, requests []*keyedRequest, to ...*entryHost) {
	var all sync.WaitGroup
	for _, k := range requests {
		for _, e := range to {
			all.Go(func() { k.send(c, e) })
		}
	}
	all.Wait()
}

// Guards against a non-idempotent request that runs twice, a request that ran although its caller was told not_run, and
// the answer of another request. The first two are checked in the journal, when the cluster of startCluster stops.
func TestAtMostOnce(t *testing.T) {
	startParallel(t)
	for name, fail := range map[string]func(c *cluster, requests []*keyedRequest, owner, other *entryHost){
		"repeated at other hosts and zones": func(c *cluster, requests []*keyedRequest, _, _ *entryHost) {
			sendAll(c, requests, c.entries...)
			for _, k := range requests {
				for _, e := range c.entries {
					// The request has run and its answer is stored, so each repeat must be answered from the key table.
					eventually(c.t, "replay of "+k.key+" at "+e.id, func() error {
						r := k.send(c, e)
						return errorUnless(r.checkDone() == nil && r.replayed, "%+v", r)
					})
				}
			}
		},
		"owner killed in flight": func(c *cluster, requests []*keyedRequest, owner, other *entryHost) {
			var all sync.WaitGroup
			all.Go(func() { sendAll(c, requests, other) })
			c.awaitExecutions(3)
			owner.kill(c.t)
			all.Wait()
			c.awaitTakeover(owner, other)
			c.awaitKeys("wattala", other)
			sendAll(c, requests, c.runningEntries()...)
		},
		"owner replaced gracefully in flight": func(c *cluster, requests []*keyedRequest, owner, other *entryHost) {
			c.addEntry("wattala-entry-9", "wattala")
			var all sync.WaitGroup
			all.Go(func() { sendAll(c, requests, other) })
			c.awaitExecutions(3)
			assert.Equal(c.t, owner.terminate(c.t), 0)
			all.Wait()
			c.awaitTakeover(owner, other)
			c.awaitKeys("wattala", other)
			sendAll(c, requests, c.runningEntries()...)
		},
		"platform down": func(c *cluster, requests []*keyedRequest, _, _ *entryHost) {
			c.platform.SetFaults(fake.PlatformFaults{Down: true})
			sendAll(c, requests[:requestsPerTest/2], c.entries...)
			time.Sleep(10 * time.Second) // longer than the TTL of platform leases
			sendAll(c, requests, c.entries...)
			for _, k := range requests {
				assert.Check(c.t, k.isDone(), "%s: %v", k.key, k.replies)
			}
			c.platform.SetFaults(fake.PlatformFaults{})
			sendAll(c, requests, c.entries...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			startParallel(t)
			c := startCluster(t, clusterConfig{zones: []zoneSize{{"wattala", 2, 3}, {"kadawatha", 1, 2}}, serviceTime: 300 * time.Millisecond})
			owner, other := c.ownerAndOther("wattala")
			c.awaitKeys("wattala", c.entries...)
			var requests []*keyedRequest
			for range requestsPerTest {
				requests = append(requests, &keyedRequest{id: ulid.Make().String(), key: newKey("wattala")})
			}
			fail(c, requests, owner, other)

			c.checkReplies(t, requests)
		})
	}
}

// checkReplies checks the replies to requests against the journal of what ran.
func (c *cluster) checkReplies(t *testing.T, requests []*keyedRequest) {
	t.Helper()
	ran := map[string]time.Time{}
	for _, e := range c.journal.Executions() {
		ran[e.Key] = e.At
	}
	for _, k := range requests {
		at, ok := ran[k.key]
		assert.Check(t, ok || !k.isDone(), "key %s was answered with done, but did not run", k.key)
		for _, r := range k.replies {
			// A repeat that was sent after the request ran gets the stored answer or the outcome unknown, never not_run.
			repeat := ok && r.sent.After(at)
			assert.Check(t, !repeat || r.outcome != "not_run" || r.err != nil, "key %s ran, but a later repeat was told not_run: %+v", k.key, r)
		}
	}
}

// awaitKeys waits until each of the entry hosts serves requests with new keys of a zone.
func (c *cluster) awaitKeys(zone string, entries ...*entryHost) {
	c.t.Helper()
	for _, e := range entries {
		eventually(c.t, fmt.Sprintf("keys of %s at %s", zone, e.id), func() error {
			return c.send(e, "orders", newKey(zone)).checkDone()
		})
	}
}

// awaitExecutions waits until workers have admitted n more requests.
func (c *cluster) awaitExecutions(n int) {
	c.t.Helper()
	before := len(c.journal.Executions())
	eventually(c.t, "executions", func() error {
		return errorUnless(len(c.journal.Executions()) >= before+n, "%d of %d", len(c.journal.Executions())-before, n)
	})
}
