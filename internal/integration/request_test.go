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

// defaultCheckpointInterval is the progress between two checkpoints of a batch task.
const defaultCheckpointInterval = 200 * time.Millisecond

// reply is the result of a request that was sent once, as its caller sees it.
type reply struct {
	body     string
	err      error
	outcome  string // done, not_run or unknown
	replayed bool
	sent     time.Time
	status   int
	wantBody string
}

func (r reply) checkDone() error {
	return errorUnless(r.err == nil && r.outcome == "done", "%s, status %d, %q (%v)", r.outcome, r.status, r.body, r.err)
}

// send sends a request with a new id to an entry host, without retries.
func (c *cluster) send(e *entryHost, service, key string) reply {
	return c.sendWithID(e, service, key, ulid.Make().String())
}

// sendWithID sends a request whose path and body contain the id, so that the answer of another request fails the test.
func (c *cluster) sendWithID(e *entryHost, service, key, id string) reply {
	c.t.Helper()
	// The wrapper hides the type of the reader, so that the transport can't rewind the body and retry the request.
	body := struct{ io.Reader }{strings.NewReader("body of " + id)}
	req, err := http.NewRequest(http.MethodPost, e.url()+"/"+service+"/"+id, body)
	assert.Check(c.t, err)
	if key != "" {
		req.Header.Set(caller.HeaderKey, key)
	}
	out := reply{outcome: "unknown", sent: time.Now(), wantBody: fmt.Sprintf("POST /%s\nbody of %s", id, id)}
	res, err := c.http.Do(req)
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
		c.journal.RecordNotRun(res.Header.Get(caller.HeaderRequestID))
	case out.outcome == "done" && (out.status != http.StatusOK || out.body != out.wantBody):
		c.t.Errorf("request %s at %s got status %d and %q", id, e.id, out.status, out.body)
	case out.outcome == "":
		c.t.Errorf("request %s at %s got no outcome: status %d, %q", id, e.id, out.status, out.body)
	}
	return out
}

func newKey(zone string) string { return zone + ":" + ulid.Make().String() }

// loadGenerator runs concurrent callers, each of which sends one request after the other.
type loadGenerator struct {
	callerGroup sync.WaitGroup
	doneCount   atomic.Int64
	stopped     atomic.Bool
}

// startLoad starts callers of both services. Each request goes to one of the entry hosts that entries returns.
func (c *cluster) startLoad(callers int, entries func() []*entryHost) *loadGenerator {
	l := &loadGenerator{}
	for i := range callers {
		l.callerGroup.Go(func() {
			for !l.stopped.Load() {
				targets := entries()
				e := targets[rand.IntN(len(targets))]
				if i%2 == 0 {
					l.count(c.send(e, "orders", newKey(e.zone)))
				} else {
					l.count(c.send(e, "readings", ""))
				}
			}
		})
	}
	return l
}

func (l *loadGenerator) count(r reply) {
	if r.outcome == "done" {
		l.doneCount.Add(1)
	} else {
		time.Sleep(20 * time.Millisecond) // callers back off after a failure
	}
}

// stop stops the callers and waits for the answers of their last requests.
func (l *loadGenerator) stop() {
	l.stopped.Store(true)
	l.callerGroup.Wait()
}

// awaitMore waits until n more requests have had the outcome done.
func (l *loadGenerator) awaitMore(c *cluster, n int64) {
	c.t.Helper()
	before := l.doneCount.Load()
	eventually(c.t, "requests", func() error {
		return errorUnless(l.doneCount.Load() >= before+n, "%d of %d answered", l.doneCount.Load()-before, n)
	})
}
