package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/retry"
)

const (
	// interruptedInterval is how often an owner that holds long-running tasks back asks whether others have interrupted ones waiting.
	interruptedInterval = 500 * time.Millisecond
	// lendTime is how long the room for short tasks is then lent: until two further answers.
	lendTime = 2*interruptedInterval + interruptedInterval/2
)

// lendHeadroom lends the room that the shard keeps for short tasks while interrupted tasks find no room in another shard.
func (r *runner) lendHeadroom() {
	for r.ctx.Err() == nil {
		retry.Sleep(r.ctx, interruptedInterval)
		r.mu.Lock()
		services := r.owner.HeldBack()
		r.mu.Unlock()
		for _, service := range services {
			if n := r.host.interruptedElsewhere(r.ctx, r.shard, service); n > 0 {
				r.log.WithFields(logrus.Fields{"decision": "lend_headroom", "interrupted": n, "service": service}).
					Info("long-running tasks may use the room for short ones, since interrupted tasks wait in another shard")
				r.updateOwner(func(now time.Time) { r.owner.LendHeadroom(service, now.Add(lendTime)) })
			}
		}
	}
}

// interruptedElsewhere returns the number of interrupted tasks that wait in the other shards, as far as their owners answer.
func (h *Host) interruptedElsewhere(ctx context.Context, own int, service string) int {
	sum := 0
	for n := range h.directory.shardCount() {
		if n != own {
			sum += h.shardLoad(ctx, loadKey{service, n}, nil).Interrupted
		}
	}
	return sum
}
