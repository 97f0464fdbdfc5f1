package shard

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workercall"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Handover is what an owner that gives its shard up knows about workers and attempts that the records of jobs do not tell the next
// one. Its durations count from the moment at which the owner sent its last order.
type Handover struct {
	// Calls holds what the owner knows of calls that may still be carried out; nil if it is of a build that does not say.
	Calls *PendingCalls `cbor:"6,keyasint,omitempty"`
	// Progress holds the progress of jobs whose last changes are not recorded, by job. Their attempts that were not sent are plans.
	Progress map[string]workflow.Progress `cbor:"1,keyasint,omitempty"`
	// Running holds the runs that may be found overdue, except those that began a moment ago.
	Running []RunAge `cbor:"2,keyasint,omitempty"`
	// Unsent holds the attempts that may be on record and have not begun: no start of them is on its way.
	Unsent []UnsentAttempt `cbor:"3,keyasint,omitempty"`
	// Waiting holds the interrupted tasks that wait for a worker, by their last run.
	Waiting []RunAge `cbor:"5,keyasint,omitempty"`
	// Workers holds the workers whose leases may not have expired. All other workers of the shard have none.
	Workers []WorkerLease `cbor:"4,keyasint,omitempty"`
}

// WorkerLease is how long the lease of a worker may still last, with what else the owner knows of the worker.
type WorkerLease struct {
	_ struct{} `cbor:",toarray"`
	// Born identifies the latest lifetime of the worker that the owner knows.
	Born int64
	// Draining is how long the worker has been draining; 0 if it is not or began to at this moment.
	Draining time.Duration
	ID       string
	// Left is the longest time until everything on the worker has ended, on the owners' clocks.
	Left time.Duration
}

// RunAge is how long a worker has been carrying a run out, or how long its task has been waiting for the next one.
type RunAge struct {
	_   struct{} `cbor:",toarray"`
	Age time.Duration
	Job string
	Key workflow.TaskKey
	Run int
}

// minRunAge is the age from which runs are named in a handover.
const minRunAge = 500 * time.Millisecond

// UnsentAttempt identifies an attempt that has not begun and whose worker can't begin it without a further start.
type UnsentAttempt struct {
	_   struct{} `cbor:",toarray"`
	Job string
	Key workflow.TaskKey
	Run int
}

// WithAge returns the handover as it reads when a time has passed in which no order was sent.
func (h Handover) WithAge(age time.Duration) Handover {
	out := Handover{Calls: h.Calls.WithAge(age), Progress: h.Progress, Unsent: h.Unsent}
	out.Running, out.Waiting = withAge(h.Running, age), withAge(h.Waiting, age)
	for _, w := range h.Workers {
		if w.Left -= age; w.Left <= 0 {
			continue
		}
		if w.Draining > 0 {
			w.Draining += age
		}
		out.Workers = append(out.Workers, w)
	}
	return out
}

func withAge(runs []RunAge, age time.Duration) []RunAge {
	out := slices.Clone(runs)
	for i := range out {
		out[i].Age += age
	}
	return out
}

// Handover returns what the next owner has to know. The caller must send no order after this call.
func (o *Owner) Handover(now time.Time) Handover {
	o.dropAttemptsWithoutRoom()
	o.noteUnansweredStarts(now)
	o.boundRefusedLeases(now)
	h := Handover{Calls: o.pendingCalls(now), Progress: o.unrecordedProgress(now), Waiting: o.interruptions(now)}
	for _, w := range o.sortedWorkers() {
		if left := o.leaseExpiry(w).Sub(now); left > 0 {
			lease := WorkerLease{Born: max(w.life.Born(), w.Born), ID: w.ID, Left: left}
			if w.Draining {
				lease.Draining = now.Sub(w.drainingSince)
			}
			h.Workers = append(h.Workers, lease)
		}
		for _, at := range w.attempts {
			if !at.isSent() {
				h.Unsent = append(h.Unsent, UnsentAttempt{Job: at.task.job.ID, Key: at.task.key, Run: at.run})
			}
			if age := now.Sub(at.confirmedAt); at.phase == phaseRunning && !at.task.step.LongRunning && age >= minRunAge {
				h.Running = append(h.Running, RunAge{Age: age, Job: at.task.job.ID, Key: at.task.key, Run: at.run})
			}
		}
	}
	return h
}

// interruptions returns the interrupted tasks with the times for which they have waited.
func (o *Owner) interruptions(now time.Time) []RunAge {
	var out []RunAge
	for _, j := range o.backlog {
		for _, t := range j.readyTasks() {
			if t.isInterrupted() && !t.waitingSince.IsZero() {
				out = append(out, RunAge{Age: now.Sub(t.waitingSince), Job: j.ID, Key: t.key, Run: t.run})
			}
		}
	}
	return out
}

// maxProgressBytes limits the progress that is handed over. The record is written by a host that may have a slow link, and the store
// refuses values of more than 1 MB.
const maxProgressBytes = 128 << 10

// unrecordedProgress returns the progress of the jobs whose last changes are not recorded, those first that would be recorded first.
func (o *Owner) unrecordedProgress(now time.Time) map[string]workflow.Progress {
	jobs := slices.Clone(o.dirty)
	if o.committing != nil {
		for _, w := range o.committing.Writes {
			if j := o.jobs[w.Job]; j != nil && !j.dirty {
				jobs = append(jobs, j)
			}
		}
	}
	jobs = slices.DeleteFunc(jobs, func(j *job) bool { return j.final != "" })
	sortForCommit(now, jobs)
	out, size := map[string]workflow.Progress{}, 0
	for _, j := range jobs {
		// An owner of an older build must not find compact progress of a job whose own record it can read.
		p := o.progress(j, &Commit{}, j.isCompactRecorded)
		bytes := len(workflow.Encode(p))
		if size+bytes > maxProgressBytes {
			continue
		}
		size += bytes
		out[j.ID] = p
	}
	return out
}

// Inherit applies what the last owner handed over. It must be called before the jobs are restored, and only if no other owner has
// been between the two.
func (o *Owner) Inherit(h Handover) {
	o.inherited = &h
	if h.Calls != nil {
		o.unknownEndsHeldUntil = o.acquiredAt.Add(h.Calls.HeldEnds)
		for _, s := range h.Calls.LateStarts {
			o.noteEnded(endedTask{s.Job, s.Key}, o.acquiredAt.Add(s.Left)) // has no effect on tasks that are known
		}
	}
	for _, w := range o.workers {
		if isFromTakeover(w.life.Inherited()) {
			w.life = o.inheritedLifetime(w.ID)
		}
		if w.Draining {
			w.drainingSince = minTime(w.drainingSince, o.inheritedDrainStart(w.Worker))
		}
	}
	o.log.WithFields(logrus.Fields{"decision": "inherit", "jobs": len(h.Progress), "leases": len(h.Workers), "unsent": len(h.Unsent)}).
		Info("adopting what the last owner knew of the workers")
}

// inheritedLifetime returns what earlier owners say of the lifetime of a worker: the latest one that the last owner knew, if it handed the
// shard over, and a bound for its leases. What was handed over counts from the takeover, which came after it, but never for longer than
// the bound without it.
func (o *Owner) inheritedLifetime(worker string) workercall.Lifetime {
	longest := o.timing.longestLeaseFrom(o.acquiredAt, leaseFromTakeover)
	bound := longest
	if !o.earlierLeasesEnd.IsZero() && o.earlierLeasesEnd.Before(bound.End) {
		bound = workercall.Bound{End: o.earlierLeasesEnd, Origin: leaseFromClaim}
	}
	if o.inherited == nil {
		return workercall.NewLifetime(0, o.told.limit(worker, bound))
	}
	last := WorkerLease{}
	if i := o.inherited.indexOf(worker); i >= 0 {
		last = o.inherited.Workers[i]
	}
	handedOver := workercall.Bound{End: minTime(longest.End, o.acquiredAt.Add(last.Left)), Origin: leaseFromHandover}
	life := workercall.NewLifetime(last.Born, handedOver)
	if o.inherited.hasRestarted(worker) {
		// It may get the longest lease, whatever owners granted, until it accepts a token: see noteAcceptedToken.
		life = life.WithRestart(last.Born, handedOver)
	}
	if o.inherited.Calls != nil {
		life = life.WithRenewals(o.handedOverRenewals(worker))
	}
	return life
}

// BoundEarlierLeases says that the leases that earlier owners granted end at a time at the latest, and by whose claim. It must be called
// before the jobs are restored.
func (o *Owner) BoundEarlierLeases(end time.Time, source LeaseSource) {
	o.earlierLeasesEnd, o.earlierLeasesSource = end, source
	for _, w := range o.workers {
		if isFromTakeover(w.life.Inherited()) {
			w.life = w.life.WithInherited(o.inheritedLifetime(w.ID).Inherited())
		}
	}
}

// NoteLastClaim says when the last owner took the shard from another one, or a later time: starts of owners before it were sent until then.
// It must be called before the jobs are restored.
func (o *Owner) NoteLastClaim(at time.Time) { o.lastClaim = at }

// NoteRenewal says when the renewal of the owner's own lease was sent that succeeded last.
func (o *Owner) NoteRenewal(sent time.Time) { o.renewedAt = sent }

// inheritedDrainStart returns when a draining worker began to drain as far as the last owner knew, or now.
func (o *Owner) inheritedDrainStart(w Worker) time.Time {
	if o.inherited != nil {
		if i := o.inherited.indexOf(w.ID); i >= 0 && o.inherited.Workers[i].Born == w.Born && o.inherited.Workers[i].Draining > 0 {
			return o.acquiredAt.Add(-o.inherited.Workers[i].Draining)
		}
	}
	return o.now
}

func (h Handover) indexOf(worker string) int {
	return slices.IndexFunc(h.Workers, func(w WorkerLease) bool { return w.ID == worker })
}

// since returns when a run or a wait of a list that was handed over began, or the zero time if the list does not have it.
func (o *Owner) since(runs []RunAge, job string, k workflow.TaskKey, run int) time.Time {
	for _, r := range runs {
		if r.Job == job && r.Key == k && r.Run == run {
			return o.acquiredAt.Add(-r.Age)
		}
	}
	return time.Time{}
}

// isUnsent reports whether an attempt on record was never sent.
func (h Handover) isUnsent(job string, k workflow.TaskKey, run int) bool {
	return slices.ContainsFunc(h.Unsent, func(u UnsentAttempt) bool { return u.Job == job && u.Key == k && u.Run == run })
}

// BeginHandover prepares the handover of the shard to another owner. From then on no starts are planned and no commit begins, so
// that the handover does not wait for changes that never cease. Handover returns the unrecorded ones. A handover that has begun does
// not end: this owner never plans again.
func (o *Owner) BeginHandover() { o.isHandingOver = true }

// IsCommitting reports whether a commit is unanswered.
func (o *Owner) IsCommitting() bool { return o.committing != nil }
