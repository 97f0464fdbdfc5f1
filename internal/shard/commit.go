package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// maxWrites bounds the jobs of one commit, so that it needs few transactions.
const maxWrites = 40

// nextCommit returns the records to write, one commit at a time.
func (o *Owner) nextCommit(now time.Time, a *Actions) *Commit {
	if o.committing || len(o.dirty) == 0 && !o.unnoted() {
		return nil
	}
	if due := o.lastCommit.Add(o.timing.CommitGap); now.Before(due) {
		a.wakeAt(due)
		return nil
	}
	n := min(len(o.dirty), maxWrites)
	c := &Commit{noted: map[string]int64{}}
	for _, j := range o.dirty[:n] {
		j.dirty = false
		w := JobWrite{Job: j.ID, Final: j.final, version: j.version}
		if j.final == "" {
			w.Progress = workflow.Encode(o.progress(j, c))
		}
		c.Writes = append(c.Writes, w)
	}
	o.dirty = append([]*job(nil), o.dirty[n:]...)
	if len(o.dirty) == 0 {
		for _, w := range o.sortedWorkers() {
			id := w.ID
			if w.seen > w.noted {
				c.noted[id] = w.seen
			}
		}
	}
	if len(c.Writes) == 0 { // the ends were of jobs that have ended
		o.noteEnds(c)
		return nil
	}
	o.committing, o.lastCommit = true, now
	return c
}

func (o *Owner) unnoted() bool {
	for _, w := range o.sortedWorkers() {
		if w.seen > w.noted {
			return true
		}
	}
	return false
}

func (o *Owner) noteEnds(c *Commit) {
	for id, n := range c.noted {
		if w := o.workers[id]; w != nil && n <= w.seen {
			w.noted = max(w.noted, n)
		}
	}
}

func (o *Owner) progress(j *job, c *Commit) workflow.Progress {
	p := workflow.Progress{DoneThrough: j.doneThrough}
	for _, occ := range j.open() {
		for _, tasks := range occ.tasks {
			for _, t := range tasks {
				if t.run == 0 && !t.done {
					continue
				}
				rec := workflow.TaskRecord{
					Key: t.key, Checkpoint: t.checkpoint, Done: t.done, Failures: t.failures, Run: t.run,
				}
				for _, at := range t.attempts {
					rec.Attempts = append(rec.Attempts, workflow.Attempt{Worker: at.worker.ID, Born: at.worker.born, Run: at.run})
					if at.phase == phasePlanned {
						c.planned = append(c.planned, at)
					}
				}
				p.Tasks = append(p.Tasks, rec)
			}
		}
	}
	return p
}

// Committed takes the news that a commit is durable.
func (o *Owner) Committed(_ time.Time, c *Commit) {
	o.committing = false
	for _, at := range c.planned {
		if at.phase == phasePlanned {
			at.phase = phaseReady
		}
	}
	o.noteEnds(c)
	for _, w := range c.Writes {
		j := o.jobs[w.Job]
		if j == nil {
			continue
		}
		if w.Final != "" {
			j.finalSent = true
			o.log.WithFields(logrus.Fields{"decision": "final", "job": j.ID, "state": string(w.Final)}).
				Info("job's end is on record")
			o.ended.put(j.ID, w.Final)
			o.forget(j)
		}
	}
}
