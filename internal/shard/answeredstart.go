package shard

import (
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// answerRecordDelay is how long the record of a response to a start waits for other changes of its job. Without it, the next owner waits
// longer for the run if this one is killed and the worker does not answer.
const answerRecordDelay = 3 * time.Second

// unrecordedAnswer is a confirmed run whose record has to say, from a time on, that each start of it has a response.
type unrecordedAnswer struct {
	attempt *attempt
	due     time.Time
}

// isStartAnswered reports whether the worker has confirmed the run, and each of its starts has a response, so that no further one is sent.
func (a *attempt) isStartAnswered() bool {
	isConfirmed := a.phase == phaseRunning || a.phase == phaseStopping || a.phase == phaseStopped
	return isConfirmed && !a.confirmedAt.IsZero() && !a.isStartUnknown && a.starts.Count() == 0
}

// noteAnswered makes the record of a long-running task's job say that each start of a confirmed run has a response: the next owner, after a
// crash, waits until starts that may have none can't be carried out any more. Other tasks end too soon for that, and the mark of the shard says it of
// them.
func (o *Owner) noteAnswered(at *attempt) {
	o.noteUnmarked(o.now)
	if at.task.step.LongRunning {
		due := maxTime(o.now.Add(answerRecordDelay), at.starts.LostUntil(o.timing.CallDelay))
		o.answers = append(o.answers, unrecordedAnswer{attempt: at, due: due})
	}
}

// recordDueAnswers schedules the records of responses that have waited long enough.
func (o *Owner) recordDueAnswers(now time.Time, a *Actions) {
	waiting := o.answers[:0]
	for _, u := range o.answers {
		at := u.attempt
		switch {
		case at.isAnswerRecorded, !slices.Contains(at.task.attempts, at):
			continue
		case now.Before(u.due):
		case at.isStartAnswered():
			o.markDirty(at.task.job)
			continue
		default:
			u.due = now.Add(answerRecordDelay) // a listing has to show first that nothing came of a lost start
		}
		a.wakeAt(u.due)
		waiting = append(waiting, u)
	}
	clear(o.answers[len(waiting):])
	o.answers = waiting
}

// mayRecordAnswer reports whether the records may say that each start of the attempt has a response. An earlier owner has said so of an inherited
// attempt, or it has been confirmed since. How a stray run was started is not known.
func (a *attempt) mayRecordAnswer() bool {
	isKnown := a.phase == phaseInherited && a.isAnswerRecorded && !a.isStartUnknown && a.starts.Count() == 0
	return isKnown || a.isStartAnswered() && a.stopCause != strayCause
}

// recordAnswered returns the runs of an occurrence whose starts all have responses. From then on, the record says of each further start before
// it is sent.
func recordAnswered(occ *occurrence) []workflow.AnsweredStart {
	var out []workflow.AnsweredStart
	for _, tasks := range occ.tasks {
		for _, t := range tasks {
			for _, at := range t.attempts {
				if at.mayRecordAnswer() {
					at.isAnswerRecorded = true
					out = append(out, workflow.AnsweredStart{Key: t.key, Run: at.run, Worker: at.worker.ID})
				}
			}
		}
	}
	return out
}

// noteUnmarked notes that there are answers which the last mark of the shard does not tell of.
func (o *Owner) noteUnmarked(now time.Time) {
	if o.unmarkedSince.IsZero() {
		o.unmarkedSince = now
	}
}

// UnmarkedFor returns for how long there have been answers that the last mark of the shard does not tell of; ok is false if there are none.
func (o *Owner) UnmarkedFor(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(o.unmarkedSince), !o.unmarkedSince.IsZero()
}

// MarkAnew makes the mark of the shard be written again, as the last one is of another epoch or was not written.
func (o *Owner) MarkAnew(now time.Time) { o.noteUnmarked(now) }

// AnsweredMark returns a mark of this moment without its epoch and its revision: it names the jobs with changes that are not on record, and the runs on
// record with a start that has no response. All other starts on record have responses, and the records say of each further one before it is sent.
func (o *Owner) AnsweredMark() workflow.AnsweredMark {
	o.unmarkedSince = time.Time{}
	var mark workflow.AnsweredMark
	if o.committing != nil {
		for _, w := range o.committing.Writes {
			mark.Except = append(mark.Except, w.Job)
		}
	}
	for _, j := range o.jobs {
		if j.dirty {
			mark.Except = append(mark.Except, j.ID)
			continue
		}
		for _, at := range j.attempts() {
			if at.mayRecordAnswer() {
				at.isAnswerRecorded = true
			} else {
				mark.Open = append(mark.Open, workflow.OpenStart{Job: j.ID, Key: at.task.key, Run: at.run, Worker: at.worker.ID})
			}
		}
	}
	slices.Sort(mark.Except)
	return mark
}

// attempts returns the attempts of all tasks of the job.
func (j *job) attempts() []*attempt {
	var out []*attempt
	for _, occ := range j.occurrences {
		for _, tasks := range occ.tasks {
			for _, t := range tasks {
				out = append(out, t.attempts...)
			}
		}
	}
	return out
}
