package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

// unrecordedEnd is an end that a worker has listed and that may not be acknowledged yet: it waits for the record of the version of its job that
// takes it into account, or until no start of its task can be carried out any more.
type unrecordedEnd struct {
	// heldUntil is until when the end is not acknowledged because the owner does not know its task.
	heldUntil time.Time
	job       *job
	number    int64
	// task is set for an end after which its task must not start again.
	task    *task
	version int
}

// isRecorded reports whether the store has the job in the version or a later one.
func (j *job) isRecorded(version int) bool { return j.finalRecorded || version <= j.recordedVersion }

// isRecorded reports whether the record of the end is durable. An end whose job is unknown waits for none.
func (e unrecordedEnd) isRecorded() bool { return e.job == nil || e.job.isRecorded(e.version) }

// trackEnd adds a listed end that has been handled, of a task that is nil if it is not known. An end of a job that has not changed since
// its last record waits for none.
func (o *Owner) trackEnd(now time.Time, w *worker, row EndRow, t *task) {
	w.lastEnd = row.Number
	e := unrecordedEnd{job: o.jobs[row.Job], number: row.Number}
	if e.job != nil {
		e.version = e.job.version
	}
	if row.Cause == EndDone || row.Cause == EndFailed {
		e.task = t
		if t == nil {
			e.heldUntil = o.endedHeldUntil(endedTask{row.Job, row.Key})
		}
	}
	if !e.isRecorded() || now.Before(o.heldUntil(e)) {
		w.unrecordedEnds = append(w.unrecordedEnds, e)
	}
}

// heldUntil returns until when an end is not acknowledged because a start of its task may still be carried out: a task must not start after
// an end of it counts.
func (o *Owner) heldUntil(e unrecordedEnd) time.Time {
	if e.task == nil {
		return e.heldUntil
	}
	tasks := []*task{e.task}
	if e.task.step.Gang {
		tasks = e.task.occurrence.tasks[e.task.key.Step] // the end of one stands for all
	}
	var until time.Time
	for _, t := range tasks {
		until = maxTime(until, t.lateStarts.Until())
		for _, at := range t.attempts {
			if at.isSent() {
				until = maxTime(until, o.startsOf(at).Until(o.now, o.timing.CallDelay))
			}
		}
	}
	return until
}

// releaseEnds lets the ends of a worker be acknowledged that were held until now.
func (o *Owner) releaseEnds(now time.Time, w *worker, a *Actions) {
	if w.endsHeldUntil.IsZero() {
		return
	}
	if !now.Before(w.endsHeldUntil) {
		o.advanceRecordedEnd(now, w)
		o.pollForAcknowledgement(w)
	}
	if !w.endsHeldUntil.IsZero() {
		a.wakeAt(w.endsHeldUntil)
	}
}

// advanceRecordedEnd moves recordedEnd up to the first end that is not recorded, or that is held.
func (o *Owner) advanceRecordedEnd(now time.Time, w *worker) {
	wasHeld := !w.endsHeldUntil.IsZero()
	w.endsHeldUntil = time.Time{}
	n := 0
	for ; n < len(w.unrecordedEnds) && w.unrecordedEnds[n].isRecorded(); n++ {
		if until := o.heldUntil(w.unrecordedEnds[n]); now.Before(until) {
			w.endsHeldUntil = until
			break
		}
	}
	o.logHeldEnds(now, w, wasHeld, n)
	clear(w.unrecordedEnds[:n])
	w.unrecordedEnds = w.unrecordedEnds[n:]
	w.recordedEnd = w.lastEnd
	if len(w.unrecordedEnds) > 0 {
		w.recordedEnd = w.unrecordedEnds[0].number - 1
	}
}

// logHeldEnds logs that the first of the ends of a worker begins to be held, or is not held any more. The first ones of unrecordedEnds, whose
// number is released, may be acknowledged from now on.
func (o *Owner) logHeldEnds(now time.Time, w *worker, wasHeld bool, released int) {
	isHeld := !w.endsHeldUntil.IsZero()
	if isHeld == wasHeld {
		return
	}
	fields := logrus.Fields{"decision": "release_ends", "worker": w.ID, "born": w.life.Born(), "ends": released}
	reason := "no start of the tasks of ended runs can be carried out any more; acknowledging the ends"
	if isHeld {
		o.observeLifetime(eventEndsHeld, 1)
		held := w.unrecordedEnds[released]
		fields["decision"], fields["ends"] = "hold_ends", len(w.unrecordedEnds)-released
		fields["number"], fields["until_in"], fields["task_known"] = held.number, w.endsHeldUntil.Sub(now).String(), held.task != nil
		reason = "ends are not acknowledged while a start of the task of the first one may be carried out"
	}
	o.log.WithFields(fields).Info(reason)
}
