package shard_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against leases that outlast what the next claim counts: those that an owner requests whose own lease has not been renewed for a
// while, or has been ended without its knowledge.
func TestLeasesEndWithinBoundOfOwnersRenewal(t *testing.T) {
	for name, timing := range map[string]shard.Timing{
		"longest of 10 s": shard.DefaultTiming(),
		"longest of 6 s":  shard.DefaultTiming().WithMaxWorkerLease(6*time.Second, 100*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, timing.LeaseFromRenewal <= timing.MaxWorkerLease)
			const firstClock, unrenewed = 1000, 1400 * time.Millisecond
			now := time.Unix(1_000_000, 0)
			renewed := now
			o := shard.NewOwner(1, now, shard.WithTiming(timing))
			o.NoteRenewal(renewed)
			o.SetConfig(workflow.NewConfig(1, []workflow.Queue{{Name: "q", Service: "s"}}, nil, workflow.Limits{}))
			o.SetWorkers(now, []shard.Worker{newSimulation(t, 1, 1).workers[0].Worker})
			restoreInterrupted(o, now, 1, 1000)
			longest := time.Duration(0)
			var running []shard.RunningRow
			for now.Sub(renewed) < unrenewed {
				clock := firstClock + now.Sub(renewed).Milliseconds()
				a := o.Step(now)
				if a.Commit != nil {
					o.Committed(now, a.Commit)
				}
				for _, start := range a.Starts {
					running = append(running, shard.RunningRow{Job: start.Job, Key: start.Key, Percent: 100, Run: start.Run})
					longest = max(longest, time.Duration(start.Until-firstClock)*time.Millisecond)
					o.Started(now, start, shard.Reply{Clock: clock, Outcome: shard.OutcomeDone})
				}
				for _, p := range a.Polls {
					longest = max(longest, time.Duration(p.Until-firstClock)*time.Millisecond)
					o.Polled(now, p, now, shard.Listing{Born: 1, Clock: clock, Running: running})
				}
				now = now.Add(10 * time.Millisecond)
			}
			assert.Assert(t, longest > timing.WorkerLease && longest <= timing.LeaseFromRenewal, "%s", longest)
		})
	}
}
