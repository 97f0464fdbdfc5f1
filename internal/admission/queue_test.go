package admission_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/admission"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(id, service, team string) admission.Request {
	return admission.Request{Arrived: start, ID: id, Service: service, Team: team}
}

// offer offers n requests and returns how many were admitted.
func offer(q *admission.Queue, n int, service, team string) int {
	admitted := 0
	for i := range n {
		if q.Offer(start, request(fmt.Sprint(service, team, i), service, team)).Verdict == admission.VerdictAdmitted {
			admitted++
		}
	}
	return admitted
}

// Guards against an unused share that other services or teams can't borrow, and against a borrowed share that is not
// returned as requests end, for services and for teams.
func TestUnusedShareIsBorrowedAndReturned(t *testing.T) {
	for name, user := range map[string]func(i int) (service, team string){
		"services": func(i int) (string, string) { return fmt.Sprint(i), "" },
		"teams":    func(i int) (string, string) { return "k", fmt.Sprint(i) },
	} {
		t.Run(name, func(t *testing.T) {
			q := admission.NewQueue(8)
			half := map[string]float64{"0": 0.25, "1": 0.75}
			q.SetShares(start, half, half)
			service0, team0 := user(0)
			service1, team1 := user(1)
			assert.Equal(t, offer(q, 20, service0, team0), 8)
			assert.Equal(t, offer(q, 20, service1, team1), 0)
			for i := range 6 {
				out := q.Done(start, fmt.Sprint(service0, team0, i), time.Millisecond, admission.ResultOK)
				assert.Equal(t, len(out), 1)
				assert.Equal(t, out[0].Request.Service+out[0].Request.Team, service1+team1)
			}
			out := q.Done(start, fmt.Sprint(service0, team0, 6), time.Millisecond, admission.ResultOK)
			assert.Equal(t, out[0].Request.Service+out[0].Request.Team, service0+team0)
		})
	}
}

// Guards against queueing a request that can't meet its deadline, and against running one that can no
// longer meet it after waiting.
func TestRequestsThatMissDeadlineAreNotRun(t *testing.T) {
	q := admission.NewQueue(1)
	q.Offer(start, request("warm", "k", ""))
	q.Done(start, "warm", 100*time.Millisecond, admission.ResultOK)
	q.Offer(start, request("running", "k", ""))

	r := request("refused", "k", "")
	r.Deadline = start.Add(150 * time.Millisecond)
	d := q.Offer(start, r)
	assert.Equal(t, d.Verdict, admission.VerdictRefused)
	assert.Equal(t, d.Reason, admission.ReasonDeadline)
	assert.Equal(t, d.RetryAfter, 100*time.Millisecond)

	r = request("dropped", "k", "")
	r.Deadline = start.Add(300 * time.Millisecond)
	assert.Equal(t, q.Offer(start, r).Verdict, admission.VerdictQueued)
	q.Offer(start, request("patient", "k", ""))
	out := q.Done(start.Add(400*time.Millisecond), "running", 400*time.Millisecond, admission.ResultOK)
	assert.Equal(t, len(out), 2)
	assert.Equal(t, out[0].Request.ID, "dropped")
	assert.Equal(t, out[0].Reason, admission.ReasonExpired)
	assert.Equal(t, out[1].Request.ID, "patient")
	assert.Equal(t, out[1].Verdict, admission.VerdictAdmitted)

	r = request("expired", "k", "")
	r.Deadline = start.Add(2 * time.Second)
	assert.Equal(t, q.Offer(start.Add(400*time.Millisecond), r).Verdict, admission.VerdictQueued)
	out = q.Tick(start.Add(2 * time.Second))
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Request.ID, "expired")
}

// Guards against a slow period that raises the service-time estimate above every deadline, so that no
// request is admitted that would correct it.
func TestServiceRecoversFromSlowPeriod(t *testing.T) {
	q, now, served := admission.NewQueue(4), start, 0
	for i := range 200 {
		r := request(fmt.Sprint(i), "k", "")
		r.Deadline = now.Add(100 * time.Millisecond)
		service := 10 * time.Millisecond
		if i < 10 {
			service = time.Minute
		}
		if q.Offer(now, r).Verdict == admission.VerdictAdmitted {
			q.Done(now.Add(service), r.ID, service, admission.ResultOK)
			served++
		}
		now = now.Add(time.Second)
	}
	assert.Equal(t, served, 200)
	for i := range 4 {
		r := request(fmt.Sprint("again", i), "k", "")
		r.Deadline = now.Add(100 * time.Millisecond)
		assert.Equal(t, q.Offer(now, r).Verdict, admission.VerdictAdmitted)
	}
}

// Guards against queues that grow without bound, against a team that fills the queue of another team,
// and against counting a request twice.
func TestQueuesAreBounded(t *testing.T) {
	q := admission.NewQueue(1, admission.WithLimits(3, 5))
	offer(q, 100, "k", "a")
	running, queued := q.Load()
	assert.Equal(t, running+queued, 4)
	assert.Equal(t, q.Offer(start, request("ka0", "k", "a")).Reason, admission.ReasonDuplicate)
	assert.Equal(t, q.Offer(start, request("b", "k", "b")).Verdict, admission.VerdictQueued)
	offer(q, 100, "other", "c")
	assert.Equal(t, q.Offer(start, request("d", "k", "d")).Reason, admission.ReasonQueueFull)
	assert.Assert(t, q.Cancel("b"))
	assert.Assert(t, !q.Cancel("ka0"))
	_, queued = q.Load()
	assert.Equal(t, queued, 4)
}

// Guards against starting requests above a lowered capacity, and against slots that stay idle after the
// capacity was raised or the end of a request was reported twice.
func TestCapacityChanges(t *testing.T) {
	for _, policy := range []admission.Policy{admission.PolicyFairShares, admission.PolicySingleQueue} {
		t.Run(string(policy), func(t *testing.T) {
			q := admission.NewQueue(4, admission.WithPolicy(policy))
			assert.Equal(t, offer(q, 10, "k", ""), 4)
			assert.Equal(t, len(q.SetCapacity(start, 2)), 0)
			assert.Equal(t, len(q.Done(start, "k0", time.Millisecond, admission.ResultOK)), 0)
			assert.Equal(t, len(q.Done(start, "k0", time.Millisecond, admission.ResultOK)), 0)
			assert.Equal(t, len(q.SetCapacity(start, 6)), 3)
			running, queued := q.Load()
			assert.Equal(t, running, 6)
			assert.Equal(t, queued, 3)
		})
	}
}

// Guards against a baseline policy that applies shares or deadlines, which would falsify the comparison
// with it.
func TestSingleQueueIsFirstInFirstOut(t *testing.T) {
	q := admission.NewQueue(1, admission.WithPolicy(admission.PolicySingleQueue))
	q.SetShares(start, map[string]float64{"a": 0.1, "b": 0.9}, nil)
	offer(q, 3, "a", "")
	late := request("late", "a", "")
	late.Deadline = start
	assert.Equal(t, q.Offer(start, late).Verdict, admission.VerdictQueued)
	offer(q, 1, "b", "")
	var order []string
	for _, id := range []string{"a0", "a1", "a2", "late"} {
		order = append(order, q.Done(start, id, time.Second, admission.ResultOK)[0].Request.ID)
	}
	assert.DeepEqual(t, order, []string{"a1", "a2", "late", "b0"})
}

func BenchmarkAdmit(b *testing.B) {
	for _, services := range []int{8, 50, 200, 600} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			q, running := admission.NewQueue(64), []string{}
			ids := make([]string, 1<<16)
			for i := range ids {
				ids[i] = fmt.Sprint(i)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				r := admission.Request{Deadline: start.Add(time.Second), ID: ids[n%len(ids)], Service: ids[n%services]}
				if q.Offer(start, r).Verdict == admission.VerdictAdmitted {
					running = append(running, r.ID)
				}
				if len(running) > 0 && n%2 == 0 {
					for _, o := range q.Done(start, running[0], time.Millisecond, admission.ResultOK) {
						running = append(running, o.Request.ID)
					}
					running = running[1:]
				}
			}
		})
	}
}
