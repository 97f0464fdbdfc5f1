package entry

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/shard"
)

const (
	// evaluationTime is what a whole core takes to look at a pair of task and worker.
	evaluationTime = 170 * time.Nanosecond
	// placementPart bounds the part of the host's processor that placement takes.
	placementPart = 0.1
)

// timing returns the owner's timing with the platform's bounds.
func (h *Host) timing() shard.Timing {
	t := shard.DefaultTiming()
	if strength := h.settings.Platform.Strength; strength > 0 {
		t.EvaluationGap = time.Duration(float64(evaluationTime) / (strength * placementPart))
	}
	if most := h.settings.Worker.MaxLease.Duration; most > 0 {
		t.MaxWorkerLease = most
		t.WorkerLease = min(t.WorkerLease, most-h.settings.Worker.LeaseReserve.Duration)
	}
	return t
}
