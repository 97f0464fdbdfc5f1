package entry

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/shard"
)

const (
	// pairEvaluationTime is the time that one full core takes to evaluate a task on a worker.
	pairEvaluationTime = 170 * time.Nanosecond
	// maxPlacementShare bounds the share of the host's processor time that placement takes.
	maxPlacementShare = 0.1
)

// timing returns the timing of an owner on this host: placement is paced by the host's strength, and worker leases are
// bounded by the settings.
func (h *Host) timing() shard.Timing {
	t := shard.DefaultTiming()
	if strength := h.settings.Platform.Strength; strength > 0 {
		t.EvaluationGap = time.Duration(float64(pairEvaluationTime) / (strength * maxPlacementShare))
	}
	if maxLease := h.settings.Worker.MaxLease.Duration; maxLease > 0 {
		t = t.WithMaxWorkerLease(maxLease, h.settings.Worker.LeaseReserve.Duration)
	}
	return t
}
