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

// load describes the requests of one service: the time from arrival to deadline, the mean of the
// exponential service time, and the arrival rate per second.
type load struct {
	timeToDeadline  time.Duration
	meanServiceTime time.Duration
	rate            float64
}

type event struct {
	at          time.Time
	isEnd       bool
	service     string
	request     admission.Request
	serviceTime time.Duration
}

// events is sorted by time.
type events []event

func (e *events) add(x event) {
	i, _ := slices.BinarySearchFunc(*e, x, func(a, b event) int { return a.at.Compare(b.at) })
	*e = slices.Insert(*e, i, x)
}

// results counts the outcomes of the requests of one service.
type results struct {
	inTime, late, offered int
	latencies             []time.Duration
	// busy is the slot time that the requests used.
	busy time.Duration
}

func (t *results) p99() time.Duration {
	slices.Sort(t.latencies)
	return t.latencies[len(t.latencies)*99/100]
}

// simulate runs a queue on a virtual clock.
func simulate(seed uint64, loads map[string]load) map[string]*results {
	q := admission.NewQueue(floodCapacity)
	q.SetShares(start, map[string]float64{"critical": 0.5, "flood": 0.25, "other": 0.25}, nil)
	rng := rand.New(rand.NewPCG(seed, seed))
	out := map[string]*results{}
	var pending events
	interarrival := func(service string) time.Duration {
		return time.Duration(rng.ExpFloat64() / loads[service].rate * 1e9)
	}
	run := func(now time.Time, r admission.Request) {
		serviceTime := time.Duration(rng.ExpFloat64() * float64(loads[r.Service].meanServiceTime))
		pending.add(event{at: now.Add(serviceTime), isEnd: true, service: r.Service, request: r, serviceTime: serviceTime})
	}
	for _, service := range []string{"critical", "flood", "other"} {
		if _, ok := loads[service]; ok {
			out[service] = &results{}
			pending.add(event{at: start.Add(interarrival(service)), service: service})
		}
	}
	for n := 0; len(pending) > 0; n++ {
		e := pending[0]
		pending = pending[1:]
		if e.at.Sub(start) > floodDuration {
			break
		}
		t := out[e.service]
		if !e.isEnd {
			pending.add(event{at: e.at.Add(interarrival(e.service)), service: e.service})
			r := admission.Request{
				Arrived: e.at, Deadline: e.at.Add(loads[e.service].timeToDeadline), ID: fmt.Sprint(n), Service: e.service,
			}
			t.offered++
			if q.Offer(e.at, r).Verdict == admission.VerdictAdmitted {
				run(e.at, r)
			}
			continue
		}
		r := e.request
		t.busy += e.serviceTime
		t.latencies = append(t.latencies, e.at.Sub(r.Arrived))
		if e.at.After(r.Deadline) {
			t.late++
		} else {
			t.inTime++
		}
		for _, o := range q.Done(e.at, r.ID, e.serviceTime, admission.ResultOK) {
			if o.Verdict == admission.VerdictAdmitted {
				run(e.at, o.Request)
			}
		}
	}
	return out
}

const (
	floodCapacity    = 64
	floodServiceTime = 20 * time.Millisecond
	floodDuration    = 4 * time.Second
)

// saturationRate is the number of requests per second that keeps all slots busy.
var saturationRate = floodCapacity / floodServiceTime.Seconds()

func steadyLoads() map[string]load {
	return map[string]load{
		"critical": {timeToDeadline: 200 * time.Millisecond, meanServiceTime: floodServiceTime, rate: 0.4 * saturationRate},
		"other":    {timeToDeadline: 500 * time.Millisecond, meanServiceTime: floodServiceTime, rate: 0.2 * saturationRate},
	}
}

// Guards against a flood of one service that takes the slots of other services' shares, and against a congestion
// collapse in which the flooding service completes only requests that miss their deadline.
func TestFloodOfOneService(t *testing.T) {
	for _, flood := range []load{
		{timeToDeadline: 200 * time.Millisecond, meanServiceTime: floodServiceTime, rate: saturationRate},
		{timeToDeadline: 200 * time.Millisecond, meanServiceTime: floodServiceTime, rate: 3 * saturationRate},
		{timeToDeadline: 200 * time.Millisecond, meanServiceTime: floodServiceTime, rate: 10 * saturationRate},
		{timeToDeadline: time.Second, meanServiceTime: 5 * floodServiceTime, rate: 0.6 * saturationRate},
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%.0f_per_second_of_%s/%d", flood.rate, flood.meanServiceTime, seed), func(t *testing.T) {
				t.Parallel()
				loads := steadyLoads()
				steady := simulate(seed, loads)
				loads["flood"] = flood
				got := simulate(seed, loads)
				critical := float64(got["critical"].inTime) / float64(steady["critical"].inTime)
				other := float64(got["other"].inTime) / float64(steady["other"].inTime)
				ratio := float64(got["critical"].p99()) / float64(steady["critical"].p99())
				left := floodDuration.Seconds()*floodCapacity - (got["critical"].busy + got["other"].busy).Seconds()
				part := float64(got["flood"].inTime) * flood.meanServiceTime.Seconds() / left
				t.Logf("critical keeps %.3f, other %.3f, p99 ratio %.2f, flood gets %.3f of the rest, late %d of %d",
					critical, other, ratio, part, got["flood"].late, got["flood"].late+got["flood"].inTime)
				assert.Assert(t, critical >= 0.9 && other >= 0.9)
				assert.Assert(t, ratio <= 1.5)
				assert.Assert(t, part >= 0.9)
			})
		}
	}
}
