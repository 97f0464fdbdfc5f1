package entry

import (
	"context"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// MaxUnansweredLoadAge is how long a reported load is used while the owner does not answer.
const MaxUnansweredLoadAge = maxUnansweredLoadAge

// ChooseShard returns the shard for a new job.
func (h *Host) ChooseShard(ctx context.Context, j workflow.Job) (int, bool) {
	n, _, ok := h.chooseShard(ctx, j)
	return n, ok
}

// KnowsLoad asks for the load of a shard and reports whether the host has one that is recent enough to be used.
func (h *Host) KnowsLoad(ctx context.Context, shard int) bool {
	return h.shardLoad(ctx, loadKey{shard: shard}, nil).Room > 0
}

// ExpectationTime is how long an owner expects a job for which a host has chosen its shard.
const ExpectationTime = expectationTime

// InterruptedElsewhere returns the number of interrupted tasks of service "" that wait in the shards other than own.
func (h *Host) InterruptedElsewhere(ctx context.Context, own int) int {
	return h.interruptedElsewhere(ctx, own, "")
}
