package shard

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/workercall"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// endedTask identifies a task that is not known any more: its occurrence or its job has ended.
type endedTask struct {
	job string
	key workflow.TaskKey
}

// endedStart is a late start of a task whose occurrence has ended.
type endedStart struct {
	workercall.LateStart
	key workflow.TaskKey
}

// keepLateStarts keeps the late starts of the tasks of an occurrence that has ended: the ends of these tasks are held because of them.
func (o *Owner) keepLateStarts(j *job, occ *occurrence) {
	for _, tasks := range occ.tasks {
		for _, t := range tasks {
			for _, s := range o.lateStartsOf(t) {
				if o.now.Before(s.Until) {
					j.endedStarts = append(j.endedStarts, endedStart{s, t.key})
				}
			}
		}
	}
}

// noteEnded notes until when a start of a task that is not known any more may be carried out.
func (o *Owner) noteEnded(t endedTask, until time.Time) {
	if o.now.Before(until) {
		o.endedTasks[t] = maxTime(o.endedTasks[t], until)
	}
}

// noteEndedJob notes the late starts of a job that is forgotten, and forgets those that are over.
func (o *Owner) noteEndedJob(j *job) {
	for t, until := range o.endedTasks {
		if !o.now.Before(until) {
			delete(o.endedTasks, t)
		}
	}
	for _, s := range j.endedStarts {
		o.noteEnded(endedTask{j.ID, s.key}, s.Until)
	}
	for _, occ := range j.openOccurrences() {
		for _, tasks := range occ.tasks {
			for _, t := range tasks {
				o.noteEnded(endedTask{j.ID, t.key}, t.lateStarts.Until())
			}
		}
	}
}

// endedHeldUntil returns until when the end of a task that is not known any more is not acknowledged.
func (o *Owner) endedHeldUntil(t endedTask) time.Time {
	until := maxTime(o.unknownEndsHeldUntil, o.endedTasks[t])
	if j := o.jobs[t.job]; j != nil {
		for _, s := range j.endedStarts {
			if s.key == t.key {
				until = maxTime(until, s.Until)
			}
		}
	}
	return until
}

// recordEndedStarts returns the late starts of ended occurrences of a job for its record.
func (o *Owner) recordEndedStarts(j *job) []workflow.LateStart {
	var out []workflow.LateStart
	for _, s := range j.endedStarts {
		if o.now.Before(s.Until) {
			out = append(out, o.recordLateStart(s.key, s.LateStart))
		}
	}
	return out
}

// finalProgress returns what the records keep of a job that has ended: its late starts. It is nil if there are none.
func (o *Owner) finalProgress(j *job) []byte {
	p := workflow.Progress{LateStarts: o.recordEndedStarts(j)}
	for _, occ := range j.openOccurrences() {
		p.LateStarts = append(p.LateStarts, o.recordLateStarts(occ)...)
	}
	if len(p.LateStarts) == 0 {
		return nil
	}
	return workflow.Encode(p)
}

// RestoreEnded restores what the records keep of a job that has ended.
func (o *Owner) RestoreEnded(now time.Time, id string, p workflow.Progress) {
	o.now = now
	for _, s := range p.LateStarts {
		o.noteEnded(endedTask{id, s.Key}, o.recordedUntil(s))
	}
}

// TrustEndedRecords says that the last owner kept the late starts of ended tasks on record, so that ends of other tasks which are not known need
// not be held. It must be called before the jobs are restored.
func (o *Owner) TrustEndedRecords() { o.unknownEndsHeldUntil = time.Time{} }
