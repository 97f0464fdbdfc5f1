package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/forecast"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// retrySlots holds the slots in which refused callers may come back.
type retrySlots struct {
	forecast.Slots
	mu sync.Mutex
}

func (s *retrySlots) take(d forecast.Decision, hosts, shards int) (delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Slots, delay = s.Take(time.Now(), d, hosts, shards)
	return delay
}

// decide decides whether a job is refused, by the loads of the shards that it may go to. A shard whose workers can't hold the job says
// nothing about when it would end.
func (h *Host) decide(j workflow.Job, q workflow.QueueSettings, shards []int, loads []cachedLoad) forecast.Decision {
	alternatives := make([]forecast.Alternative, len(shards))
	for i, n := range shards {
		alternatives[i] = forecast.Alternative{Age: time.Since(loads[i].receivedAt), Shard: n}
		if loads[i].mayTake() {
			alternatives[i].View = loads[i].Forecast
		}
	}
	d := forecast.Decide(j, q, alternatives)
	admissions.Add(string(d.Reason), 1)
	return d
}

// isUnrecorded reports whether the store says that a job is not on record. A caller that got no answer to its first attempt must not get a
// refusal of a job that runs.
func (h *Host) isUnrecorded(ctx context.Context, id string) bool {
	_, err := h.readLocation(ctx, id, false)
	return errors.Is(err, errJobNotFound)
}

// refuse refuses a job before anything was written for it.
func (h *Host) refuse(j workflow.Job, d forecast.Decision) Answer {
	delay := h.retrySlots.take(d, h.directory.hostCount(), h.directory.shardCount())
	h.log.WithFields(logrus.Fields{
		"decision": "refuse_submission", "forecasts": d.Considered, "job": j.ID, "queue": j.Queue, "reason": string(d.Reason),
		"retry_after": delay.String(), "room_in": d.Delay.String(), "slot": d.Slot.String(),
	}).Warn("refused a job that could not be served")
	return h.logAnswer("submit", j.ID, j.Queue, Answer{Outcome: OutcomeRefused, Reason: string(d.Reason), RetryAfter: delay})
}
