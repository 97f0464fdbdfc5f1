package integration_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/caller"
)

// checkpointInterval is the work between two checkpoints of a batch task.
const checkpointInterval = 200 * time.Millisecond

// reply is what a caller sees of one request that is sent once.
type reply struct {
	body     string
	err      error
	outcome  string // done, not_run or unknown
	replayed bool
	sent     time.Time
	status   int
	want     string
}

func (r reply) failure() error {
	return want(r.err == nil && r.outcome == "done", "%s, status %d, %q (%v)", r.outcome, r.status, r.body, r.err)
}

func (c *cluster) served(string, *rand.Rand) time.Duration { return c.serviceTime }

// ask sends a request with a body of its own to an entry host, without repeats.
func (c *cluster) ask(e *entry, service, key string) reply {
	return c.askWith(c.http, e, service, key, ulid.Make().String())
}

func (c *cluster) askWith(client *http.Client, e *entry, service, key, id string) reply {
	c.t.Helper()
	// The transport would repeat a request whose body it could rewind.
	body := struct{ io.Reader }{strings.NewReader("body of " + id)}
	req, err := http.NewRequest(http.MethodPost, e.url()+"/"+service+"/"+id, body)
	assert.Check(c.t, err)
	if key != "" {
		req.Header.Set(caller.HeaderKey, key)
	}
	out := reply{outcome: "unknown", sent: time.Now(), want: fmt.Sprintf("POST /%s\nbody of %s", id, id)}
	res, err := client.Do(req)
	if err != nil {
		out.err = err
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			out.outcome = "not_run"
		}
		return out
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		out.err = err
		return out
	}
	out.body, out.outcome, out.status = string(text), res.Header.Get(caller.HeaderOutcome), res.StatusCode
	out.replayed = res.Header.Get(caller.HeaderReplayed) != ""
	switch {
	case out.outcome == "not_run":
		c.journal.ToldNotRun(res.Header.Get(caller.HeaderRequestID))
	case out.outcome == "done" && (out.status != http.StatusOK || out.body != out.want):
		c.t.Errorf("request %s at %s got status %d and %q", id, e.id, out.status, out.body)
	case out.outcome == "":
		c.t.Errorf("request %s at %s got no outcome: status %d, %q", id, e.id, out.status, out.body)
	}
	return out
}

func newKey(zone string) string { return zone + ":" + ulid.Make().String() }

// load is a number of callers that send one request after the other.
type load struct {
	all      sync.WaitGroup
	answered atomic.Int64
	ended    atomic.Bool
}

// startLoad starts callers of both services at the entry hosts that pick returns for each request.
func (c *cluster) startLoad(callers int, pick func() []*entry) *load {
	l := &load{}
	for i := range callers {
		l.all.Go(func() {
			for !l.ended.Load() {
				entries := pick()
				e := entries[rand.IntN(len(entries))]
				if i%2 == 0 {
					l.count(c.ask(e, "orders", newKey(e.zone)))
				} else {
					l.count(c.ask(e, "readings", ""))
				}
			}
		})
	}
	return l
}

func (l *load) count(r reply) {
	if r.outcome == "done" {
		l.answered.Add(1)
	} else {
		time.Sleep(20 * time.Millisecond) // as a caller that backs off
	}
}

func (l *load) done() int64 { return l.answered.Load() }

// stop ends the callers and waits for their last answers.
func (l *load) stop() {
	l.ended.Store(true)
	l.all.Wait()
}

// awaitMore waits until n more requests were answered.
func (l *load) awaitMore(c *cluster, n int64) {
	c.t.Helper()
	before := l.done()
	eventually(c.t, "requests", func() error { return want(l.done()-before >= n, "%d answered", l.done()-before) })
}
