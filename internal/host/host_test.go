package host_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

var errNotYet = errors.New("not yet")

func newKey() string { return "z:" + ulid.Make().String() }

func teamNote(i int) string {
	return fmt.Sprintf("id = \"n%d\"\n[[added]]\nkind = \"team\"\nname = \"t%d\"\nquota = { cpu_milli = 1 }\n", i, i)
}

func (e *entryHost) revision(t *testing.T) int64 {
	t.Helper()
	f, err := e.client.InForce(t.Context(), "")
	assert.NilError(t, err)
	return f.Revision
}

// TestConcurrentPublishers guards against a note that is lost, applied twice or out of order when two hosts publish
// at once, against a host that misses notes because it starts after the first ones were overwritten in the log, and
// against accepting both of two conflicting notes.
func TestConcurrentPublishers(t *testing.T) {
	c := newCluster(t)
	hosts := []*entryHost{c.start("a", c.url), c.start("b", c.url)}
	const each = 35 // the log keeps 64 entries, fewer than are published
	var all sync.WaitGroup
	for i, e := range hosts {
		all.Go(func() {
			var last int64
			for n := range each {
				waitUntil(t, "published", func() error {
					_, err := e.client.Publish(t.Context(), []byte(teamNote(1000*i+n)))
					return err
				})
				now := e.revision(t)
				assert.Check(t, now > last, "revision %d after %d", now, last)
				last = now
			}
		})
	}
	all.Wait()
	hosts = append(hosts, c.start("late", c.url))
	for _, e := range hosts {
		waitUntil(t, "all notes are in force", func() error {
			if n := e.revision(t); n != 2*each {
				return fmt.Errorf("revision %d", n)
			}
			return nil
		})
		notes, err := e.client.Notes(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(notes), 2*each)
	}
	// Of two notes on the same item that were written against the same revision, one is refused.
	var refused atomic.Int64
	for i, e := range hosts[:2] {
		all.Go(func() {
			text := fmt.Sprintf("id = \"x%d\"\nbase = %d\nwithdrawn = [\"t0\"]\n", i, 2*each)
			if _, err := e.client.Publish(t.Context(), []byte(text)); errors.Is(err, laburnumridge.ErrConflict) {
				refused.Add(1)
			}
		})
	}
	all.Wait()
	assert.Equal(t, refused.Load(), int64(1))
	assert.Equal(t, max(hosts[0].revision(t), hosts[1].revision(t)), int64(2*each+1))
}

// TestPublishOutcomeDuringStoreFaults guards against telling a publisher an outcome that differs from that in the
// log.
func TestPublishOutcomeDuringStoreFaults(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", c.url)
	publish := func(text string) (int, laburnumridge.Problem) {
		res, err := http.Post(a.url+"/v1/notes", "application/toml", strings.NewReader(text))
		assert.NilError(t, err)
		defer res.Body.Close()
		var p laburnumridge.Problem
		assert.NilError(t, json.NewDecoder(res.Body).Decode(&p))
		return res.StatusCode, p
	}
	c.platform.SetFaults(fake.PlatformFaults{Down: true})
	status, p := publish(teamNote(1))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, p.Outcome, laburnumridge.OutcomeNotRun)
	c.platform.SetFaults(fake.PlatformFaults{LostResponses: 3})
	waitUntil(t, "published", func() error {
		if status, _ := publish(teamNote(2)); status/100 != 2 {
			return fmt.Errorf("status %d", status)
		}
		return nil
	})
	assert.Equal(t, a.revision(t), int64(1), "the first note was not published and the second one once")
}

type shardRecord struct {
	Epoch int64  `json:"epoch"`
	Owner string `json:"owner"`
}

func (c *cluster) shard() (shardRecord, int64) {
	c.t.Helper()
	kv, err := c.platform.Store().Get(c.t.Context(), "shards/z/0")
	assert.NilError(c.t, err)
	var rec shardRecord
	if kv.ModRevision != 0 {
		assert.NilError(c.t, json.Unmarshal(kv.Value, &rec))
	}
	return rec, kv.ModRevision
}

// TestStaleTakeoverFails guards against two owners: a host reads a shard's record while the owner's lease has lapsed,
// and takes over after the owner has its lease back.
func TestStaleTakeoverFails(t *testing.T) {
	c := newCluster(t)
	proxy := c.platformProxy()
	a := c.start("a", "http://"+proxy.Address())
	c.publishNote(a)
	rec, staleRevision := c.shard()
	assert.Equal(t, rec.Owner, "a")
	live := func() bool {
		kv, err := c.platform.Store().Get(t.Context(), "live/a")
		return err == nil && kv.ModRevision != 0
	}
	assert.NilError(t, proxy.SetPartitioned(true))
	waitUntil(t, "the lease has lapsed", func() error {
		if live() {
			return errNotYet
		}
		return nil
	})
	assert.NilError(t, proxy.SetPartitioned(false))
	waitUntil(t, "the record was written again", func() error {
		if _, mod := c.shard(); mod == staleRevision || !live() {
			return errNotYet
		}
		return nil
	})
	_, err := c.platform.Store().CompareAndSwap(t.Context(), "shards/z/0", staleRevision, []byte(`{"epoch":9,"owner":"b"}`), 0)
	assert.Assert(t, err != nil, "a takeover guarded by the record's revision from before the lease lapsed succeeded")
	rec, _ = c.shard()
	assert.Equal(t, rec, shardRecord{Epoch: 1, Owner: "a"})
	waitUntil(t, "keys are served again", func() error {
		if r := a.post(newKey(), "x"); r.outcome != "done" {
			return errNotYet
		}
		return nil
	})
}

// TestTakeoverAfterPlatformOutage guards against a shard that stays without an owner after its owner lost the platform
// and then stopped, and against a key that was answered during the outage but gets no answer when it is repeated at
// another host.
func TestTakeoverAfterPlatformOutage(t *testing.T) {
	c := newCluster(t)
	proxy := c.platformProxy()
	a := c.start("a", "http://"+proxy.Address())
	c.publishNote(a)
	b := c.start("b", c.url)
	// Peers do not take the shard over while they receive a's heartbeats for it, so cutting a off from the platform
	// alone need not move the shard.
	assert.NilError(t, proxy.SetPartitioned(true))
	k := newKey()
	first := a.post(k, "x")
	waitUntil(t, "the key is answered once", func() error {
		if r := b.post(k, "x"); r.outcome != "done" && first.outcome == "done" {
			return errNotYet
		}
		return nil
	})
	assert.NilError(t, proxy.SetPartitioned(false))
	a.stop()
	waitUntil(t, "b owns the shard", func() error {
		if rec, _ := c.shard(); rec.Owner != "b" || b.host.OwnedShards() != 1 {
			return errNotYet
		}
		return nil
	})
}

func (c *cluster) platformProxy() *fake.Proxy {
	c.t.Helper()
	proxy, err := fake.NewProxy(c.url[len("http://"):], 1)
	assert.NilError(c.t, err)
	c.t.Cleanup(proxy.Stop)
	return proxy
}

// TestJobIntake guards against a job that runs twice, and against an id that is accepted for a different job.
func TestJobIntake(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", c.url)
	c.publishNote(a)
	for _, tc := range []struct {
		name string
		spec laburnumridge.JobSpec
		want error
	}{
		{"first", laburnumridge.JobSpec{ID: "j1", Tasks: 2, Work: "plan"}, nil},
		{"repeated", laburnumridge.JobSpec{ID: "j1", Tasks: 2, Work: "plan"}, nil},
		{"id of another job", laburnumridge.JobSpec{ID: "j1", Tasks: 3, Work: "plan"}, laburnumridge.ErrConflict},
		{"unknown work", laburnumridge.JobSpec{ID: "j2", Tasks: 1, Work: "nothing"}, laburnumridge.ErrNotFound},
		{"not batch work", laburnumridge.JobSpec{ID: "j2", Tasks: 1, Work: "orders"}, laburnumridge.ErrInvalid},
		{"no tasks", laburnumridge.JobSpec{ID: "j2", Work: "plan"}, laburnumridge.ErrInvalid},
		{"bad id", laburnumridge.JobSpec{ID: "../j2", Tasks: 1, Work: "plan"}, laburnumridge.ErrInvalid},
	} {
		_, err := a.client.SubmitJob(t.Context(), tc.spec)
		if tc.want == nil {
			assert.NilError(t, err, tc.name)
			continue
		}
		assert.ErrorIs(t, err, tc.want, tc.name)
	}
	waitUntil(t, "the job is done", func() error {
		s, err := a.client.Job(t.Context(), "j1")
		if err == nil && s.Counts.Done != 2 {
			err = errNotYet
		}
		return err
	})
	_, err := a.client.SubmitJob(t.Context(), laburnumridge.JobSpec{ID: "j1", Tasks: 2, Work: "plan"})
	assert.NilError(t, err, "repeated after its end")
	for range 2 {
		_, err = a.client.CancelJob(t.Context(), "j1")
		assert.NilError(t, err)
	}
	_, err = a.client.CancelJob(t.Context(), "j9")
	assert.ErrorIs(t, err, laburnumridge.ErrNotFound)
	ran := 0
	for _, r := range c.journal.Runs() {
		if r.Work == "plan" {
			ran++
		}
	}
	assert.Equal(t, ran, 2)
}

// TestDrainAnswersAll guards against a drain that cuts off requests or hands a shard over without its keys.
func TestDrainAnswersAll(t *testing.T) {
	var started atomic.Int64
	release := make(chan struct{})
	var once sync.Once
	finish := func() { once.Do(func() { close(release) }) }
	defer finish()
	c := newCluster(t, fake.WithHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			started.Add(1)
			<-release
		}
		_, _ = io.Copy(w, r.Body)
	}), fake.WithFeedInterval(20*time.Millisecond))
	a := c.start("a", c.url)
	c.publishNote(a)
	b := c.start("b", c.url)
	waitUntil(t, "b answers", func() error { return b.get("/orders/ready") })
	stream, err := http.Get(a.url + "/feed/x")
	assert.NilError(t, err)
	defer stream.Body.Close()
	lines := bufio.NewScanner(stream.Body)
	assert.Assert(t, lines.Scan())
	for range 8 { // until its first latency samples, a backend server gets few requests at once
		assert.NilError(t, a.get("/orders/warm"))
	}
	keys := []string{newKey(), newKey(), newKey(), ""}
	replies := make([]reply, len(keys))
	var all sync.WaitGroup
	for i, k := range keys {
		all.Go(func() { replies[i] = a.post(k, fmt.Sprint("body ", i)) })
	}
	waitUntil(t, "all are in flight", func() error {
		if int(started.Load()) < len(keys) {
			return errNotYet
		}
		return nil
	})
	a.cancel()
	waitUntil(t, "draining", func() error {
		if a.get("/readyz") == nil {
			return errNotYet
		}
		return nil
	})
	last := ""
	for lines.Scan() {
		last = lines.Text()
	}
	assert.Equal(t, last, fake.ReconnectLine)
	assert.NilError(t, lines.Err())
	finish()
	all.Wait()
	for i, r := range replies {
		assert.Equal(t, r.outcome, "done")
		assert.Equal(t, r.body, fmt.Sprint("body ", i))
	}
	<-a.done
	for i, k := range keys[:3] {
		waitUntil(t, "the next owner replays "+k, func() error {
			if r := b.post(k, fmt.Sprint("body ", i)); !r.replayed || r.body != replies[i].body {
				return fmt.Errorf("%+v", r)
			}
			return nil
		})
	}
	assert.Equal(t, int(started.Load()), len(keys), "no request ran again")
}

// TestBrokenAttempt guards against repeating a request, with or without a key, after the worker broke the connection,
// and against passing a part of a large response off as the whole.
func TestBrokenAttempt(t *testing.T) {
	var mode atomic.Value
	mode.Store("")
	c := newCluster(t, fake.WithHandler(func(w http.ResponseWriter, _ *http.Request) {
		switch mode.Load() {
		case "silent":
			panic(http.ErrAbortHandler)
		case "large":
			_, _ = w.Write(make([]byte, 300_000))
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "ok")
	}))
	a := c.start("a", c.url)
	c.publishNote(a)
	for _, m := range []string{"silent", "large"} {
		mode.Store(m)
		k := newKey()
		before := len(c.journal.Executions())
		r := a.post(k, m)
		assert.Equal(t, r.outcome, "unknown", m)
		assert.Equal(t, a.post(k, m).outcome, "unknown", m)
		assert.Equal(t, len(c.journal.Executions()), before+1, "%s: a repeat ran", m)
		before = len(c.journal.Executions())
		r = a.post("", m)
		assert.Assert(t, r.outcome == "unknown" || r.outcome == "", "%s: %+v", m, r)
		assert.Equal(t, len(c.journal.Executions()), before+1, "%s: sent again", m)
	}
}

// TestNotRunInFloodDidNotRun guards against reporting not_run for a request that ran. The worker's journal is
// compared with what callers were told.
func TestNotRunInFloodDidNotRun(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", c.url)
	c.publishNote(a)
	var all sync.WaitGroup
	var done atomic.Int64
	for range 200 {
		all.Go(func() {
			switch r := a.post("", "x"); r.outcome {
			case "not_run":
				c.journal.RecordNotRun(r.id)
			case "done":
				done.Add(1)
			}
		})
	}
	all.Wait()
	assert.Assert(t, done.Load() > 0)
}
