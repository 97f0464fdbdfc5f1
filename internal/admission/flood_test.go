package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/admission"
)

// load is the arrivals of one kind: requests a second, the time from arrival to deadline, and the
// mean of the exponential service time.
type load struct {
	budget time.Duration
	mean   time.Duration
	rate   float64
}

type event struct {
	at      time.Time
	isEnd   bool
	kind    string
	request admission.Request
	service time.Duration
}

// events are in order of time.
type events []event

func (e *events) add(x event) {
	i, _ := slices.BinarySearchFunc(*e, x, func(a, b event) int { return a.at.Compare(b.at) })
	*e = slices.Insert(*e, i, x)
}

// tally is what became of the requests of one kind.
type tally struct {
	good, late, offered int
	latencies           []time.Duration
	// busy is the slot time used.
	busy time.Duration
}

func (t *tally) p99() time.Duration {
	slices.Sort(t.latencies)
	return t.latencies[len(t.latencies)*99/100]
}

// simulate runs a queue on virtual time.
func simulate(seed uint64, loads map[string]load) map[string]*tally {
	q := admission.NewQueue(floodCapacity)
	q.SetShares(start, map[string]float64{"critical": 0.5, "flood": 0.25, "other": 0.25}, nil)
	rng := rand.New(rand.NewPCG(seed, seed))
	out := map[string]*tally{}
	var pending events
	gap := func(kind string) time.Duration { return time.Duration(rng.ExpFloat64() / loads[kind].rate * 1e9) }
	run := func(now time.Time, r admission.Request) {
		service := time.Duration(rng.ExpFloat64() * float64(loads[r.Kind].mean))
		pending.add(event{at: now.Add(service), isEnd: true, kind: r.Kind, request: r, service: service})
	}
	for _, kind := range []string{"critical", "flood", "other"} {
		if _, ok := loads[kind]; ok {
			out[kind] = &tally{}
			pending.add(event{at: start.Add(gap(kind)), kind: kind})
		}
	}
	for n := 0; len(pending) > 0; n++ {
		e := pending[0]
		pending = pending[1:]
		if e.at.Sub(start) > floodSpan {
			break
		}
		t := out[e.kind]
		if !e.isEnd {
			pending.add(event{at: e.at.Add(gap(e.kind)), kind: e.kind})
			r := admission.Request{
				Arrived: e.at, Deadline: e.at.Add(loads[e.kind].budget), ID: fmt.Sprint(n), Kind: e.kind,
			}
			t.offered++
			if q.Offer(e.at, r).Verdict == admission.VerdictAdmitted {
				run(e.at, r)
			}
			continue
		}
		r := e.request
		t.busy += e.service
		t.latencies = append(t.latencies, e.at.Sub(r.Arrived))
		if e.at.After(r.Deadline) {
			t.late++
		} else {
			t.good++
		}
		for _, o := range q.Done(e.at, r.ID, e.service, admission.ResultOK) {
			if o.Verdict == admission.VerdictAdmitted {
				run(e.at, o.Request)
			}
		}
	}
	return out
}

const (
	floodCapacity = 64
	floodMean     = 20 * time.Millisecond
	floodSpan     = 4 * time.Second
)

// full is the number of requests that all slots end in a second.
var full = floodCapacity / floodMean.Seconds()

func steadyLoads() map[string]load {
	return map[string]load{
		"critical": {budget: 200 * time.Millisecond, mean: floodMean, rate: 0.4 * full},
		"other":    {budget: 500 * time.Millisecond, mean: floodMean, rate: 0.2 * full},
	}
}

// Guards against a flood of one kind that takes what the others are guaranteed, and against a
// collapse in which the flooding kind is served only requests that end too late.
func TestFloodOfOneKind(t *testing.T) {
	for _, flood := range []load{
		{budget: 200 * time.Millisecond, mean: floodMean, rate: full},
		{budget: 200 * time.Millisecond, mean: floodMean, rate: 3 * full},
		{budget: 200 * time.Millisecond, mean: floodMean, rate: 10 * full},
		{budget: time.Second, mean: 5 * floodMean, rate: 0.6 * full},
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%.0f_per_second_of_%s/%d", flood.rate, flood.mean, seed), func(t *testing.T) {
				t.Parallel()
				loads := steadyLoads()
				steady := simulate(seed, loads)
				loads["flood"] = flood
				got := simulate(seed, loads)
				critical := float64(got["critical"].good) / float64(steady["critical"].good)
				other := float64(got["other"].good) / float64(steady["other"].good)
				ratio := float64(got["critical"].p99()) / float64(steady["critical"].p99())
				left := floodSpan.Seconds()*floodCapacity - (got["critical"].busy + got["other"].busy).Seconds()
				part := float64(got["flood"].good) * flood.mean.Seconds() / left
				t.Logf("kept %.3f %.3f, p99 ratio %.2f, flood part %.3f, late %d of %d", critical, other,
					ratio, part, got["flood"].late, got["flood"].late+got["flood"].good)
				assert.Assert(t, critical >= 0.9 && other >= 0.9)
				assert.Assert(t, ratio <= 1.5)
				assert.Assert(t, part >= 0.9)
			})
		}
	}
}
