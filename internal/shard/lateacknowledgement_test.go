package shard_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// lateOwner is an owner whose rounds are far apart. It has one worker with two tasks, and handles the answer to a poll answerTime
// after the poll was sent.
type lateOwner struct {
	*shard.Owner
	answerTime, round time.Duration
	began, now        time.Time
	// acknowledged is the highest end that was acknowledged to the worker.
	acknowledged int64
	running      []shard.Start
}

func newLateOwner(t *testing.T, round, answerTime time.Duration) *lateOwner {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &lateOwner{answerTime: answerTime, began: time.Unix(1_000_000, 0), now: time.Unix(1_000_000, 0), round: round}
	l.Owner = shard.NewOwner(1, l.now, shard.WithLog(logrus.NewEntry(log)), shard.WithWallClock(func() time.Time { return l.now }))
	l.SetConfig(workflow.NewConfig(1, []workflow.Queue{{Name: "q", Service: "s", MaxAttempts: 3}}, nil, workflow.Limits{}))
	l.SetWorkers(l.now, []shard.Worker{newSimulation(t, 1, 1).workers[0].Worker})
	step := smallStep
	step.Count = 2 // one task goes on, so that the worker is polled
	l.Add(l.now, workflow.Job{ID: "0000000000000001", Queue: "q", Steps: []workflow.Step{step}})
	return l
}

// run makes rounds until an end is acknowledged, for at most 20 s. The first task ends after 5 s.
func (l *lateOwner) run(t *testing.T) {
	t.Helper()
	for ; l.now.Sub(l.began) < 20*time.Second && l.acknowledged == 0; l.now = l.now.Add(l.round) {
		a := l.Step(l.now)
		if a.Commit != nil {
			l.Committed(l.now.Add(5*time.Millisecond), a.Commit)
		}
		for _, s := range a.Starts {
			l.running = append(l.running, s)
			answered := l.now.Add(5 * time.Millisecond)
			l.Started(answered, s, shard.Reply{Clock: l.clock(answered), Outcome: shard.OutcomeDone})
		}
		polls, sent := a.Polls, l.now
		for ; len(polls) > 0; polls = polls[1:] {
			p, answered := polls[0], sent.Add(l.answerTime)
			l.acknowledged = max(l.acknowledged, p.LastSeen)
			l.Polled(answered, p, sent, l.list(answered))
			if next, ok := l.Acknowledgement(answered, p, sent); ok {
				polls, sent = append(polls, next), answered
			}
		}
	}
	assert.Equal(t, len(l.running), 2)
}

func (l *lateOwner) clock(at time.Time) int64 { return at.Sub(l.began).Milliseconds() + 1 }

func (l *lateOwner) list(at time.Time) shard.Listing {
	list := shard.Listing{Born: 1, Clock: l.clock(at)}
	for i, s := range l.running {
		if i == 0 && at.Sub(l.began) > 5*time.Second {
			list.Ended = []shard.EndRow{{Cause: shard.EndDone, Job: s.Job, Key: s.Key, Number: 1, Run: s.Run}}
		} else {
			list.Running = append(list.Running, shard.RunningRow{Job: s.Job, Key: s.Key, Percent: 100, Run: s.Run})
		}
	}
	return list
}

// Guards against ends that are recorded and never acknowledged because the owner, short of processor time, makes its scheduling rounds
// further apart than the time for which a worker's last answer counts. Each poll brings a new answer that is too old again for the next.
func TestEndsAreAcknowledgedByLateOwner(t *testing.T) {
	for _, round := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			l := newLateOwner(t, round, 5*time.Millisecond)
			l.run(t)
			assert.Check(t, l.acknowledged == 1, "the end is not acknowledged after 15 s")
		})
	}
}

// Guards against an acknowledgement that reaches a restarted worker, which would drop ends that are not recorded: an owner that handles
// an answer late does not know whether the worker has restarted since it answered.
func TestAnswerThatIsHandledLateIsNoProofOfContact(t *testing.T) {
	l := newLateOwner(t, 2*time.Second, 700*time.Millisecond)
	l.run(t)
	assert.Equal(t, l.acknowledged, int64(0))
}
