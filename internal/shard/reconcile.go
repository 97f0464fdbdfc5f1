package shard

import "time"

// reconcileRunning compares the runs that a worker lists with its attempts: it confirms those that are listed, stops runs without an attempt, and
// sends an attempt that is not listed again or removes it.
func (o *Owner) reconcileRunning(now time.Time, w *worker, sent time.Time, list Listing) {
	listed := make(map[*attempt]bool, len(list.Running))
	w.orphans = 0
	for _, r := range list.Running {
		t := o.task(r.Job, r.Key)
		at := w.attemptOf(t, r.Run)
		if at == nil {
			at = o.adoptStray(now, w, t, r)
		}
		if at == nil {
			o.stopOrphan(w, r)
			w.orphans++
			continue
		}
		listed[at] = true
		o.noteListed(at)
		at.measurement = r.Measurement
		if r.Checkpoint != "" {
			t.checkpoint = r.Checkpoint
		}
		if at.phase == phaseSent || at.phase == phaseInherited {
			at.phase, at.confirmedAt = phaseRunning, now
			if !at.isAnswerRecorded {
				o.noteAnswered(at)
			}
			if !at.runningSince.IsZero() {
				at.confirmedAt = at.runningSince
			}
			if at.stopCause != "" {
				at.phase, at.retryAt = phaseStopping, time.Time{} // the earlier lifetime was told to stop the run
			}
		}
		if at.pace < 0 {
			at.pace = r.Percent
		}
	}
	if list.Truncated || w.recordedEnd < w.lastEnd && len(list.Ended) == 0 {
		return
	}
	for _, at := range w.attempts {
		at.starts = at.starts.Without(sent, o.timing.CallDelay)
		switch {
		case listed[at], at.inFlight, !at.confirmedAt.Before(sent):
		case at.phase == phaseInherited && o.mayResend(w, at):
			at.starts = o.startsOf(at)
			at.markReady(now)
			if at.isAnswerRecorded {
				at.isAnswerRecorded = false
				o.recordLoss(at) // a further start must not be on record as answered
			}
		case at.phase == phaseInherited:
			isOfLifetime := at.isStartUnknown && at.born == w.life.Born()
			at.isUnbegun = at.listedIn == 0 && (isOfLifetime || at.starts.IsUnanswered())
			o.removeAttempt(at, "the start was not carried out")
		case at.phase == phaseRunning, at.phase == phaseStopped:
			o.removeAttempt(at, "the worker no longer lists the run")
		}
	}
}

// mayResend reports whether an attempt that its worker does not list may be sent as it is. The worker has accepted the present token, so an
// earlier start can't be carried out by this lifetime any more. In a later lifetime than the recorded one the run may have been carried out
// before; its number is used again only if no start of it got a response, since a still later lifetime that carries such a start out has
// the same run then. Of attempts that an earlier owner recorded, only long-running tasks are sent at once. Others are planned anew, in the
// order of their urgency and at the pace of the records. Runs without an attempt take room of unknown size.
func (o *Owner) mayResend(w *worker, at *attempt) bool {
	isOfLifetime := at.task.step.LongRunning && at.born == w.life.Born() && at.born != 0
	return !at.task.step.Gang && at.task.job.final == "" && at.stopCause == "" && (isOfLifetime || at.starts.IsUnanswered()) &&
		w.orphans == 0 && w.isUsable()
}

// stopOrphan stops a run that is not on record, or that already counts as ended.
func (o *Owner) stopOrphan(w *worker, r RunningRow) {
	o.logStray(w, r, o.task(r.Job, r.Key))
	o.orphanStops = append(o.orphanStops, Stop{Order: o.newOrder(w), Job: r.Job, Key: r.Key, Run: r.Run, Reason: strayCause})
}

func (w *worker) attemptOf(t *task, run int) *attempt {
	if t == nil {
		return nil
	}
	for _, at := range t.attempts {
		if at.worker == w && at.run == run {
			return at
		}
	}
	return nil
}
