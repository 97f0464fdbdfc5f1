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

const keysPerTest = 12

// keyed is a request that is sent several times with one key.
type keyed struct {
	id, key string
	mu      sync.Mutex
	replies []reply
}

func (k *keyed) send(c *cluster, e *entry) reply {
	r := c.askWith(c.http, e, "orders", k.key, k.id)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replies = append(k.replies, r)
	return r
}

func (k *keyed) isDone() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(k.replies, func(r reply) bool { return r.outcome == "done" })
}

// sendAll sends each request to each of the entry hosts at the same time.
func sendAll(c *cluster, keys []*keyed, to ...*entry) {
	var all sync.WaitGroup
	for _, k := range keys {
		for _, e := range to {
			all.Go(func() { k.send(c, e) })
		}
	}
	all.Wait()
}

// Guards against a non-idempotent request that runs twice, one that ran although its caller was told not_run, and
// an answer that belongs to another request. The journal is checked at the end by startFleet.
func TestAtMostOnce(t *testing.T) {
	begin(t)
	for name, fail := range map[string]func(c *cluster, keys []*keyed, owner, other *entry){
		"repeated at other hosts and zones": func(c *cluster, keys []*keyed, _, _ *entry) {
			sendAll(c, keys, c.entries...)
			for _, k := range keys {
				for _, e := range c.entries {
					// The first one has run and its answer is stored, so each repeat finds it.
					eventually(c.t, "replay of "+k.key+" at "+e.id, func() error {
						r := k.send(c, e)
						return want(r.failure() == nil && r.replayed, "%+v", r)
					})
				}
			}
		},
		"owner killed in flight": func(c *cluster, keys []*keyed, owner, other *entry) {
			var all sync.WaitGroup
			all.Go(func() { sendAll(c, keys, other) })
			c.awaitExecutions(3)
			owner.kill(c.t)
			all.Wait()
			c.awaitTakeover(owner, other)
			c.awaitKeys("wattala", other)
			sendAll(c, keys, c.live()...)
		},
		"owner replaced gracefully in flight": func(c *cluster, keys []*keyed, owner, other *entry) {
			c.addEntry("wattala-entry-9", "wattala")
			var all sync.WaitGroup
			all.Go(func() { sendAll(c, keys, other) })
			c.awaitExecutions(3)
			assert.Equal(c.t, owner.terminate(c.t), 0)
			all.Wait()
			c.awaitTakeover(owner, other)
			c.awaitKeys("wattala", other)
			sendAll(c, keys, c.live()...)
		},
		"platform down": func(c *cluster, keys []*keyed, _, _ *entry) {
			c.platform.SetFaults(fake.PlatformFaults{Down: true})
			sendAll(c, keys[:keysPerTest/2], c.entries...)
			time.Sleep(10 * time.Second) // longer than the platform leases last
			sendAll(c, keys, c.entries...)
			for _, k := range keys {
				assert.Check(c.t, k.isDone(), "%s: %v", k.key, k.replies)
			}
			c.platform.SetFaults(fake.PlatformFaults{})
			sendAll(c, keys, c.entries...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			begin(t)
			c := startFleet(t, fleet{zones: []zone{{"wattala", 2, 3}, {"kadawatha", 1, 2}}, serviceTime: 300 * time.Millisecond})
			owner, other := c.roles("wattala")
			c.awaitKeys("wattala", c.entries...)
			var keys []*keyed
			for range keysPerTest {
				keys = append(keys, &keyed{id: ulid.Make().String(), key: newKey("wattala")})
			}
			fail(c, keys, owner, other)

			ran := map[string]time.Time{}
			for _, e := range c.journal.Executions() {
				ran[e.Key] = e.At
			}
			for _, k := range keys {
				at, ok := ran[k.key]
				assert.Check(t, ok || !k.isDone(), "key %s was answered and did not run", k.key)
				for _, r := range k.replies {
					// A repeat is told the answer or that the outcome is unknown, never that nothing ran.
					repeat := ok && r.sent.After(at)
					assert.Check(t, !repeat || r.outcome != "not_run" || r.err != nil, "key %s ran: %+v", k.key, r)
				}
			}
		})
	}
}

// awaitKeys waits until new keys of a zone are served at entry hosts.
func (c *cluster) awaitKeys(zone string, entries ...*entry) {
	c.t.Helper()
	for _, e := range entries {
		eventually(c.t, fmt.Sprintf("keys of %s at %s", zone, e.id), func() error {
			return c.ask(e, "orders", newKey(zone)).failure()
		})
	}
}

// awaitExecutions waits until n more requests run.
func (c *cluster) awaitExecutions(n int) {
	c.t.Helper()
	before := len(c.journal.Executions())
	eventually(c.t, "executions", func() error {
		return want(len(c.journal.Executions()) >= before+n, "%d of %d", len(c.journal.Executions())-before, n)
	})
}
