package routing_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/routing"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func backends(n int) []routing.Backend {
	var out []routing.Backend
	for i := range n {
		out = append(out, routing.Backend{Worker: fmt.Sprintf("w%d", i), Zone: "a", Free: 8})
	}
	return out
}

func addSamples(r *routing.Router, worker string, latency time.Duration) {
	for range 20 {
		r.Started(worker)
		r.Finished(start, worker, latency, routing.ResultOK)
	}
}

// runRequest routes one request, ends it with the result and returns its worker, or "" if there was none.
func runRequest(r *routing.Router, now time.Time, bs []routing.Backend, result routing.Result) string {
	d, err := r.Route(now, bs)
	if err != nil {
		return ""
	}
	r.Started(d.Backend.Worker)
	r.Finished(now, d.Backend.Worker, time.Millisecond, result)
	return d.Backend.Worker
}

// Guards against new requests on a leaving, full or already tried server under any policy, and against
// routing to another zone while the local one has a server.
func TestRouteFiltersCandidates(t *testing.T) {
	for _, policy := range []routing.Policy{
		routing.PolicyP2C, routing.PolicyLeastOutstanding, routing.PolicyRoundRobin,
	} {
		t.Run(string(policy), func(t *testing.T) {
			bs := backends(5)
			bs[0].Leaving, bs[1].Free, bs[4].Zone = true, 0, "b"
			r := routing.NewRouter("a", routing.WithPolicy(policy))
			for range 50 {
				d, err := r.Route(start, bs, "w2")
				assert.NilError(t, err)
				assert.Equal(t, d.Backend.Worker, "w3")
				assert.Equal(t, d.Policy, policy)
			}
			d, err := r.Route(start, bs, "w2", "w3")
			assert.NilError(t, err)
			assert.Equal(t, d.Backend.Zone, "b")
			_, err = r.Route(start, bs, "w2", "w3", "w4")
			assert.ErrorIs(t, err, routing.ErrNoBackend)
			var none *routing.NoBackendError
			assert.Assert(t, errors.As(err, &none))
			assert.DeepEqual(t, none.Rejections[:3], []routing.Rejection{
				{Worker: "w0", Reason: routing.ReasonLeaving},
				{Worker: "w1", Reason: routing.ReasonNoSlot},
				{Worker: "w2", Reason: routing.ReasonExcluded},
			})
		})
	}
}

// Guards against sending a server that is ten times slower an equal part of the load, and against never
// measuring it again after it has recovered.
func TestSlowServerIsAvoidedAndMeasuredAgain(t *testing.T) {
	r, bs := routing.NewRouter("a", routing.WithSeed(7)), backends(8)
	for _, b := range bs {
		addSamples(r, b.Worker, 10*time.Millisecond)
	}
	addSamples(r, "w0", 100*time.Millisecond)
	count := func(now time.Time) int {
		slow := 0
		for range 1000 {
			if d, err := r.Route(now, bs); err == nil && d.Backend.Worker == "w0" {
				slow++
			}
		}
		return slow
	}
	assert.Equal(t, count(start), 0)
	assert.Assert(t, count(start.Add(2*time.Minute)) > 20)
}

// Guards against a burst of requests on a server that was just added.
func TestColdServerIsBounded(t *testing.T) {
	r, bs := routing.NewRouter("a"), backends(4)
	bs[0].Free = 1000
	for _, b := range bs[1:] {
		addSamples(r, b.Worker, 10*time.Millisecond)
	}
	for range 500 {
		d, err := r.Route(start, bs)
		assert.NilError(t, err)
		r.Started(d.Backend.Worker)
	}
	assert.Equal(t, r.InFlight("w0"), 2)
}

// Guards against requests to a failed server, against more than one probe at a time, and against a
// circuit that never closes.
func TestCircuitOpensProbesAndCloses(t *testing.T) {
	r, bs := routing.NewRouter("a"), backends(1)
	for range 3 {
		assert.Equal(t, runRequest(r, start, bs, routing.ResultFailed), "w0")
	}
	assert.Equal(t, runRequest(r, start, bs, routing.ResultOK), "")
	now := start.Add(2 * time.Second)
	d, err := r.Route(now, bs)
	assert.NilError(t, err)
	assert.Equal(t, d.Reason, routing.ReasonProbe)
	_, err = r.Route(now, bs)
	assert.ErrorIs(t, err, routing.ErrNoBackend)
	r.Started("w0")
	r.Finished(now, "w0", time.Millisecond, routing.ResultFailed)
	assert.Equal(t, runRequest(r, now.Add(1400*time.Millisecond), bs, routing.ResultOK), "")
	now = now.Add(3 * time.Second)
	for range 3 {
		assert.Equal(t, runRequest(r, now, bs, routing.ResultOK), "w0")
	}
	d, err = r.Route(now, bs)
	assert.NilError(t, err)
	assert.Equal(t, d.Reason, routing.ReasonOnlyCandidate)
}

// Guards against treating overload as failure. The pause is short, requests refused together count once,
// repeated refusals lengthen it, and one success ends it.
func TestRefusalBacksOff(t *testing.T) {
	r, bs := routing.NewRouter("a"), backends(1)
	addSamples(r, "w0", time.Millisecond)
	for range 6 {
		r.Started("w0")
	}
	for range 6 {
		r.Finished(start, "w0", time.Millisecond, routing.ResultRefused)
	}
	now := start
	var pauses []time.Duration
	for range 4 {
		_, err := r.Route(now, bs)
		var none *routing.NoBackendError
		assert.Assert(t, errors.As(err, &none))
		pauses = append(pauses, none.RetryAfter)
		now = now.Add(none.RetryAfter)
		assert.Equal(t, runRequest(r, now, bs, routing.ResultRefused), "w0")
	}
	assert.Assert(t, pauses[0] < 70*time.Millisecond)
	assert.Assert(t, pauses[3] > 3*pauses[0] && pauses[3] < time.Second)
	now = now.Add(3 * time.Second)
	assert.Equal(t, runRequest(r, now, bs, routing.ResultOK), "w0")
	d, err := r.Route(now, bs)
	assert.NilError(t, err)
	assert.Equal(t, d.Reason, routing.ReasonOnlyCandidate)
}

// Guards against a busy server that suddenly fails and still receives requests until its failures reach half of
// the requests that it has answered.
func TestConsecutiveFailuresOpenCircuit(t *testing.T) {
	r := routing.NewRouter("a")
	bs := backends(1)
	for range 1000 {
		assert.Equal(t, runRequest(r, start, bs, routing.ResultOK), "w0")
	}
	for range 5 {
		assert.Equal(t, runRequest(r, start, bs, routing.ResultFailed), "w0")
	}
	_, err := r.Route(start, bs)
	assert.ErrorIs(t, err, routing.ErrNoBackend)
}

// Guards against state that accumulates for replaced workers, and against removing the state of a worker with
// requests in flight: their end would lower the count of a worker that returns under the same id.
func TestRetainRemovesReplacedWorkers(t *testing.T) {
	r := routing.NewRouter("a")
	addSamples(r, "w0", time.Millisecond)
	addSamples(r, "w1", time.Millisecond)
	r.Started("w1")
	r.Retain([]string{"w2"})
	assert.DeepEqual(t, r.Workers(), []string{"w1"})
	r.Finished(start, "w1", time.Millisecond, routing.ResultOK)
	assert.Equal(t, len(r.Workers()), 0)
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{8, 50, 200, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, bs := routing.NewRouter("a"), backends(n)
			for _, s := range bs {
				addSamples(r, s.Worker, time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := r.Route(start, bs); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against a dead server that attracts requests because connections to it fail fast, while most of its
// recent requests succeeded.
func TestUnreachableServerOpensCircuit(t *testing.T) {
	r := routing.NewRouter("a", routing.WithSeed(1))
	bs := backends(2)
	for range 200 {
		runRequest(r, start, bs, routing.ResultOK)
	}
	r.Started("w0")
	r.Finished(start, "w0", time.Millisecond, routing.ResultUnreachable)
	for range 50 {
		d, err := r.Route(start.Add(500*time.Millisecond), bs)
		assert.NilError(t, err)
		assert.Equal(t, d.Backend.Worker, "w1")
	}
}
