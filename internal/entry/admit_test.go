package entry_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/forecast"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// backlogView returns the view of an owner that has learned that tasks take their estimate, with work that waits for a time.
func backlogView(wait time.Duration) *forecast.View {
	return &forecast.View{
		Backlogs:     []forecast.Backlog{{Work: forecast.Work{Reserving: wait.Milliseconds()}}},
		Errors:       forecast.Errors{Count: 100},
		Fits:         []forecast.ClassFit{{Class: forecast.Class{Queue: "q"}, Fit: forecast.Fit{Samples: 100, Share: 1, Slope: 1}}},
		ReservingCPU: 1000,
	}
}

// olderBuild stands for an owner that reports no view.
var olderBuild = &forecast.View{}

// admissionHost returns a host that knows the owners of some shards by their names. Each answers with the view that it has; without one it
// is silent. Peers write submissions for the host, which has no lease. recorded holds the jobs on record, and submitted those written.
func admissionHost(views map[string]*forecast.View, recorded, submitted map[string]bool) *entry.Host {
	h := newHost(1, kvstore.Store{Get: func(_ context.Context, key string) (kvstore.KV, error) {
		for id := range recorded {
			if key == entry.LocationKey(id) {
				return kvstore.KV{Key: key, Value: workflow.Encode(workflow.JobLocation{}), ModRevision: 1}, nil
			}
		}
		return kvstore.KV{Key: key}, nil
	}})
	var names []string
	for n := range len(views) {
		names = append(names, fmt.Sprint(n))
	}
	h.SetOwners(names...)
	h.SetRequest(func(ctx context.Context, owner string, m peer.Message) (peer.Message, error) {
		switch v := views[owner]; {
		case m.JobSubmit != nil && m.JobSubmit.Accepted:
			return peer.Message{}, nil // a notification of the owner, beside the test
		case m.JobSubmit != nil:
			j, err := workflow.Decode[workflow.Job](m.JobSubmit.Job)
			submitted[j.ID] = true
			return peer.Message{JobReply: &peer.JobReply{Outcome: string(entry.OutcomeAccepted), Shard: m.JobSubmit.Shard}}, err
		case v == nil:
			<-ctx.Done()
			return peer.Message{}, ctx.Err()
		case v == olderBuild:
			return peer.Message{LoadReply: &peer.LoadReply{Free: 1000, Known: true, Left: 1000, Room: 1000}}, nil
		default:
			return peer.Message{LoadReply: &peer.LoadReply{Forecast: v, Free: 1000, Known: true, Left: 1000, Room: 1000}}, nil
		}
	})
	return h
}

func admissionJob(i int) workflow.Job {
	return workflow.Job{
		ID: fmt.Sprintf("%016x", i), Queue: "q", Settings: &workflow.QueueSettings{Service: "s", TargetLatency: time.Second},
		Steps: []workflow.Step{{Count: 1, Estimate: time.Second, Resources: fleet.Resources{CPUMilli: 100}}},
	}
}

// Guards against refusals that rest on what is not known: an owner is silent, of an older build, or new.
func TestSubmissionIsRefusedOnlyIfAllOwnersSayThatItIsHopeless(t *testing.T) {
	hopeless, servable, unlearned := backlogView(time.Minute), backlogView(time.Second), backlogView(time.Minute)
	unlearned.Errors.Count = 0
	for name, c := range map[string]struct {
		views     map[string]*forecast.View
		isRefused bool
	}{
		"hopeless everywhere": {map[string]*forecast.View{"0": hopeless, "1": hopeless}, true},
		"only shard":          {map[string]*forecast.View{"0": hopeless}, true},
		"servable in one":     {map[string]*forecast.View{"0": hopeless, "1": servable}, false},
		"silent owner":        {map[string]*forecast.View{"0": hopeless, "1": nil}, false},
		"older build":         {map[string]*forecast.View{"0": hopeless, "1": olderBuild}, false},
		"changed owner":       {map[string]*forecast.View{"0": unlearned, "1": hopeless}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Second) // messages to owners end
				submitted := map[string]bool{}
				a := admissionHost(c.views, nil, submitted).Submit(t.Context(), admissionJob(1))
				assert.Equal(t, a.Outcome == entry.OutcomeRefused, c.isRefused, a.Reason)
				assert.Equal(t, len(submitted) == 0, c.isRefused)
				if c.isRefused {
					assert.Equal(t, a.Reason, string(forecast.ReasonHopeless))
					assert.Assert(t, a.RetryAfter >= time.Second)
				}
			})
		})
	}
}

// Guards against the use of a view that an owner sent before it fell silent.
func TestEarlierViewIsNotUsedOnceTheOwnerIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // messages to owners end
		views := map[string]*forecast.View{"0": backlogView(time.Minute)}
		h := admissionHost(views, nil, map[string]bool{})
		assert.Equal(t, h.Submit(t.Context(), admissionJob(1)).Outcome, entry.OutcomeRefused)
		views["0"] = nil
		assert.Equal(t, h.Submit(t.Context(), admissionJob(1)).Outcome, entry.OutcomeAccepted)
	})
}

// Guards against a job that is refused although an earlier attempt of its caller, whose answer was lost, has put it on record.
func TestRecordedJobIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // messages to owners end
		views := map[string]*forecast.View{"0": backlogView(time.Minute), "1": backlogView(time.Minute)}
		h := admissionHost(views, map[string]bool{admissionJob(1).ID: true}, map[string]bool{})
		assert.Equal(t, h.Submit(t.Context(), admissionJob(1)).Outcome, entry.OutcomeAccepted)
		assert.Equal(t, h.Submit(t.Context(), admissionJob(2)).Outcome, entry.OutcomeRefused)
	})
}

// Guards against callers that are all told to come back at once, and against one that is refused again without a new forecast.
func TestRefusedCallersComeBackInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // messages to owners end
		views := map[string]*forecast.View{"0": backlogView(time.Minute)}
		submitted := map[string]bool{}
		h := admissionHost(views, nil, submitted)
		last := time.Duration(0)
		for i := range 5 {
			a := h.Submit(t.Context(), admissionJob(i))
			assert.Assert(t, a.Outcome == entry.OutcomeRefused && a.RetryAfter > last, "%+v", a)
			last = a.RetryAfter
		}
		views["0"] = backlogView(0)
		time.Sleep(last)
		assert.Equal(t, h.Submit(t.Context(), admissionJob(0)).Outcome, entry.OutcomeAccepted)
		assert.DeepEqual(t, submitted, map[string]bool{admissionJob(0).ID: true})
	})
}
