package host_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/idempotency"
	"github.com/laburnumridge/laburnumridge/internal/peer"
)

const (
	// slowBody makes the worker answer a request after slowServiceTime, longer than a shard needs to move.
	slowBody        = "slow"
	slowServiceTime = 4 * time.Second
)

// newShardedCluster returns a cluster in which each shard has a worker, and a host "a" that owns all shards and serves all keys.
func newShardedCluster(t *testing.T, shards int) (*cluster, *entryHost) {
	t.Helper()
	handler := fake.WithHandler(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) == slowBody {
			time.Sleep(slowServiceTime)
		}
		_, _ = w.Write(body)
	})
	c := newCluster(t, handler)
	c.shards = shards
	for i := range shards {
		if i == fleet.ShardOf("z", "r1", shards).Index {
			continue // the first worker of the cluster is in this shard
		}
		rack := rackOfShard(i, shards)
		c.addWorker("worker-"+rack, rack, handler)
	}
	a := c.start("a", c.url)
	waitUntil(t, "a owns all shards", func() error { return ownsShards(a, shards) })
	c.publishNote(a)
	_, err := a.client.Publish(t.Context(), []byte(strings.Replace(twoReplicas, "= 2", fmt.Sprint("= ", shards), 1)))
	assert.NilError(t, err)
	for i := range shards {
		waitUntil(t, "keys are served", func() error {
			if r := a.post(keyOfShard(i, shards), "x"); r.outcome != "done" {
				return fmt.Errorf("%+v", r)
			}
			return nil
		})
	}
	return c, a
}

func (c *cluster) addWorker(id, rack string, options ...fake.WorkerOption) {
	c.t.Helper()
	w := fake.NewWorker(append(options, fake.WithID(id), fake.WithJournal(c.journal))...)
	assert.NilError(c.t, w.Start())
	c.t.Cleanup(w.Kill)
	c.platform.SetHost(fleet.Host{
		Address: w.Address(), Capacity: fleet.Resources{Connections: 64, CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8},
		ID: id, Kind: fleet.KindWorker, Rack: rack, State: fleet.StateLive, Zone: "z",
	})
}

func rackOfShard(index, shards int) string {
	for n := 2; ; n++ {
		if rack := fmt.Sprint("r", n); fleet.ShardOf("z", rack, shards).Index == index {
			return rack
		}
	}
}

func keyOfShard(index, shards int) string {
	for {
		k := newKey()
		if parsed, err := idempotency.ParseKey(k); err == nil && idempotency.Partition(parsed, shards) == index {
			return k
		}
	}
}

// runs returns how often the requests with each key ran.
func (c *cluster) runs() map[string]int {
	out := map[string]int{}
	for _, e := range c.journal.Executions() {
		out[e.Key]++
	}
	return out
}

// sentRequest is a keyed request and the reply to it.
type sentRequest struct {
	body, key string
	reply     reply
}

// keyedTraffic sends requests with new keys to hosts until it is stopped.
type keyedTraffic struct {
	all  sync.WaitGroup
	mu   sync.Mutex
	sent []sentRequest
	stop atomic.Bool
	// wrong holds the replies to repeats that are neither the response nor say that the request is running.
	wrong []reply
}

// start sends quick requests to the host one after the other, and beside them slow ones for each shard, so that each move of a
// shard finds some running.
func (k *keyedTraffic) start(e *entryHost, shards int) {
	k.all.Go(func() {
		for !k.stop.Load() {
			k.send(e, sentRequest{body: "quick", key: newKey()})
		}
	})
	for i := range shards {
		k.all.Go(func() {
			for !k.stop.Load() {
				k.send(e, sentRequest{body: slowBody, key: keyOfShard(i, shards)})
			}
		})
	}
}

func (k *keyedTraffic) send(e *entryHost, r sentRequest) {
	done := make(chan struct{})
	if r.body == slowBody {
		k.all.Go(func() { k.repeat(e, r.key, done) })
	}
	r.reply = e.post(r.key, r.body)
	close(done)
	k.mu.Lock()
	k.sent = append(k.sent, r)
	k.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
}

// repeat sends a slow request again and again while it runs, and records wrong replies.
func (k *keyedTraffic) repeat(e *entryHost, key string, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(slowServiceTime / 10):
		}
		if r := e.post(key, slowBody); r.outcome != "done" && !strings.Contains(r.body, "key_running") {
			k.mu.Lock()
			k.wrong = append(k.wrong, r)
			k.mu.Unlock()
		}
	}
}

func (k *keyedTraffic) end() []sentRequest {
	k.stop.Store(true)
	k.all.Wait()
	return k.sent
}

// Guards against errors for callers, requests that run twice and answers that are lost while shards move to hosts that own
// fewer, also for requests that run longer than the handover takes.
func TestKeyedRequestsSeeNoErrorWhileShardsMove(t *testing.T) {
	const shards = 3
	c, a := newShardedCluster(t, shards)
	traffic := &keyedTraffic{}
	traffic.start(a, shards)
	hosts := []*entryHost{a}
	for _, id := range []string{"b", "c"} {
		e := c.start(id, c.url)
		traffic.start(e, shards)
		hosts = append(hosts, e)
	}
	waitUntil(t, "each host owns a shard", func() error {
		for _, e := range hosts {
			if err := ownsShards(e, 1); err != nil {
				return err
			}
		}
		return nil
	})
	c.checkDoneOnce(traffic, hosts...)
}

// checkDoneOnce ends the traffic and checks that each request ran once and was answered, and that repeats of it to the hosts get
// the same answer.
func (c *cluster) checkDoneOnce(traffic *keyedTraffic, hosts ...*entryHost) {
	c.t.Helper()
	sent := traffic.end()
	assert.Check(c.t, len(traffic.wrong) == 0, "%+v", traffic.wrong)
	slow := 0
	for i, s := range sent {
		assert.Check(c.t, s.reply.outcome == "done" && s.reply.body == s.body, "%+v", s)
		repeat := hosts[i%len(hosts)].post(s.key, s.body)
		assert.Check(c.t, repeat.replayed && repeat.body == s.body, "repeat of %+v: %+v", s, repeat)
		if s.body == slowBody {
			slow++
		}
	}
	runs := c.runs()
	for _, s := range sent {
		assert.Check(c.t, runs[s.key] == 1, "%+v ran %d times", s, runs[s.key])
	}
	c.t.Logf("%d requests, %d of them slow", len(sent), slow)
}

// Guards against a shard that stays without an owner, and against errors for its callers, if the successor does not take it.
func TestOwnerTakesBackShardOfDeadSuccessor(t *testing.T) {
	c, a := newShardedCluster(t, 2)
	var refused atomic.Int64
	a.host.SetHandoverSender(func(context.Context, string, peer.Handover) error {
		refused.Add(1)
		return eris.New("the successor is dead")
	})
	traffic := &keyedTraffic{}
	traffic.start(a, 2)
	c.start("b", c.url)
	waitUntil(t, "a takes the shard back", func() error {
		if refused.Load() == 0 {
			return errNotYet
		}
		return ownsShards(a, 2)
	})
	time.Sleep(slowServiceTime) // for requests that were running in the handover
	c.checkDoneOnce(traffic, a)
	assert.Assert(t, refused.Load() <= 2, "the shard was handed to the same host %d times", refused.Load())
}

// Guards against a shard that stays without an owner, or gets two, and against requests that run twice, if the owner hangs after it
// has released the shard and goes on once another host owns it.
func TestReleasedShardOfHangingOwnerIsTakenOver(t *testing.T) {
	c, a := newShardedCluster(t, 2)
	released, resume := make(chan int, 1), make(chan struct{})
	var once sync.Once
	resumeOwner := func() { once.Do(func() { close(resume) }) }
	t.Cleanup(resumeOwner)
	a.host.SetHandoverSender(func(_ context.Context, _ string, m peer.Handover) error {
		released <- m.Index
		<-resume
		return eris.New("too late")
	})
	var keys []string
	for i := range 10 {
		keys = append(keys, keyOfShard(i%2, 2))
		assert.Equal(t, a.post(keys[i], "x").outcome, "done")
	}
	b := c.start("b", c.url)
	var index int
	select {
	case index = <-released:
	case <-time.After(testTimeout):
		t.Fatal("no shard was handed over")
	}
	waitUntil(t, "b owns the shard", func() error { return ownsShards(b, 1) })
	resumeOwner()
	waitUntil(t, "b serves new keys of the shard for callers of a", func() error {
		k := keyOfShard(index, 2)
		keys = append(keys, k)
		if r := a.post(k, "x"); r.outcome != "done" {
			return fmt.Errorf("%+v", r)
		}
		return nil
	})
	assert.NilError(t, ownsShards(a, 1))
	assert.NilError(t, ownsShards(b, 1))
	for _, k := range keys {
		for _, e := range []*entryHost{a, b} {
			assert.Check(t, slices.Contains([]string{"done", "unknown"}, e.post(k, "x").outcome))
		}
	}
	for k, n := range c.runs() {
		assert.Check(t, k == "" || n == 1, "%s ran %d times", k, n)
	}
}
