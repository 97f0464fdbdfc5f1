package shard

import (
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/workercall"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// PendingCalls is what an owner that gives its shard up knows of calls to workers that may still be carried out.
type PendingCalls struct {
	// LateStarts holds the starts that got no response, also of tasks that have ended, of which the worker may be left out.
	LateStarts []LateStart `cbor:"1,keyasint,omitempty"`
	// HeldEnds is for how long ends of tasks that the next owner does not know must not be acknowledged.
	HeldEnds time.Duration `cbor:"3,keyasint,omitempty"`
	// Renewals holds the workers that may carry out calls which renew their leases.
	Renewals []LateRenewal `cbor:"4,keyasint,omitempty"`
	// Restarted holds the workers whose present lifetime has not answered the owner.
	Restarted []string `cbor:"2,keyasint,omitempty"`
}

// LateStart is a start without a response that may be carried out for some more time. Left is negative if the start can't be carried out any
// more, but may have begun a run on a worker that has not been polled since.
type LateStart struct {
	_ struct{} `cbor:",toarray"`
	// IsSingle is set if no other start of the run was sent, so that the run shows that this one was carried out.
	IsSingle bool
	Job      string
	Key      workflow.TaskKey
	Left     time.Duration
	Run      int
	Worker   string
}

// LateRenewal is for how long a worker may carry out calls without a response that renew its lease.
type LateRenewal struct {
	_      struct{} `cbor:",toarray"`
	Left   time.Duration
	Worker string
}

// WithAge returns the calls as they read when a time has passed.
func (c *PendingCalls) WithAge(age time.Duration) *PendingCalls {
	if c == nil {
		return nil
	}
	out := &PendingCalls{HeldEnds: max(c.HeldEnds-age, 0), LateStarts: slices.Clone(c.LateStarts), Renewals: slices.Clone(c.Renewals), Restarted: c.Restarted}
	for i := range out.LateStarts {
		out.LateStarts[i].Left -= age
	}
	for i := range out.Renewals {
		out.Renewals[i].Left -= age
	}
	return out
}

// pendingCalls returns the calls that may still be carried out.
func (o *Owner) pendingCalls(now time.Time) *PendingCalls {
	o.now = now
	c := &PendingCalls{HeldEnds: max(o.unknownEndsHeldUntil.Sub(now), 0)}
	for _, w := range o.sortedWorkers() {
		if left := w.life.Renewals().Until(now, o.timing.CallDelay).Sub(now); left > 0 {
			c.Renewals = append(c.Renewals, LateRenewal{Left: left, Worker: w.ID})
		}
		if w.life.IsUnreached() {
			c.Restarted = append(c.Restarted, w.ID)
		}
	}
	for t, until := range o.endedTasks {
		if now.Before(until) && o.jobs[t.job] == nil {
			c.LateStarts = append(c.LateStarts, LateStart{Job: t.job, Key: t.key, Left: until.Sub(now)})
		}
	}
	for _, j := range o.jobs {
		for _, s := range j.endedStarts {
			c.LateStarts = append(c.LateStarts, LateStart{Job: j.ID, Key: s.key, Left: s.Until.Sub(now), Run: s.Run, Worker: s.Worker})
		}
		for _, occ := range j.openOccurrences() {
			for _, tasks := range occ.tasks {
				for _, t := range tasks {
					for _, s := range o.lateStartsOf(t) {
						c.LateStarts = append(c.LateStarts, LateStart{
							IsSingle: s.IsSingle, Job: j.ID, Key: t.key, Left: s.Until.Sub(now), Run: s.Run, Worker: s.Worker,
						})
					}
				}
			}
		}
	}
	return c
}

// handedOverRenewals returns the calls that renew the lease of a worker and may still be carried out, as the last owner handed them over.
func (o *Owner) handedOverRenewals(worker string) workercall.Pending {
	i := slices.IndexFunc(o.inherited.Calls.Renewals, func(r LateRenewal) bool { return r.Worker == worker })
	if i < 0 {
		return workercall.Pending{}
	}
	return workercall.NewLost(o.acquiredAt.Add(o.inherited.Calls.Renewals[i].Left-o.timing.CallDelay), true)
}

// hasRestarted reports whether the present lifetime of a worker had not answered the last owner.
func (h Handover) hasRestarted(worker string) bool {
	return h.Calls != nil && slices.Contains(h.Calls.Restarted, worker)
}
