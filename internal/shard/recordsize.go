package shard

import (
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Limits that keep the progress record of a job within a value of the store. docs/design/platform.md has the size of a record.
const (
	// compactFrom is the number of done tasks in open occurrences from which they have no records of their own. Smaller records keep the form
	// that builds before this one read. While a live host can't read compact records, the number is compactAlwaysFrom: larger records would
	// not fit in a value.
	compactFrom       = 1000
	compactAlwaysFrom = 16_000
	// maxOpenOccurrences limits the open occurrences of a job, and maxOpenTasks the tasks in them, which take memory as well. A job may have
	// one occurrence of any size.
	maxOpenOccurrences = 1000
	maxOpenTasks       = 100_000
)

// doneTasks returns the number of done tasks in the job's open occurrences.
func (j *job) doneTasks() int {
	n := 0
	for _, occ := range j.occurrences {
		for s := range j.Steps {
			n += j.Steps[s].Count - occ.undone[s]
		}
	}
	return n
}

// isCompact reports whether the done tasks of a job are recorded without records of their own. The records of shared jobs, whose tasks
// last, have none.
func (o *Owner) isCompact(j *job) bool {
	if j.shared != nil || j.isCompactRecorded {
		return j.shared == nil
	}
	n := j.doneTasks()
	return n >= compactAlwaysFrom || n >= compactFrom && o.mayCompact
}

// AllowCompact says whether all hosts that may own the shard next read compact records.
func (o *Owner) AllowCompact(isAllowed bool) { o.mayCompact = isAllowed }

// compactRecord returns the job's own record to write with its first compact progress.
func (j *job) compactRecord() []byte {
	return workflow.Encode(workflow.CompactJob{Job: j.Job})
}

// taskRecords returns the records of an occurrence's tasks for the job's progress, and adds the attempts to the commit that may start once
// it is written. A task that is done and has no attempt is in the list of done tasks if the progress is compact.
func (occ *occurrence) taskRecords(isCompact bool, c *Commit) ([]workflow.TaskRecord, workflow.DoneTasks) {
	var records []workflow.TaskRecord
	var done []bool
	for _, tasks := range occ.tasks {
		for _, t := range tasks {
			isListed := isCompact && t.done && len(t.attempts) == 0
			if isCompact {
				done = append(done, isListed)
			}
			if !isListed && (t.run > 0 || t.done) {
				records = append(records, t.record(c))
			}
		}
	}
	return records, workflow.NewDoneTasks(occ.index, done)
}

// restoreDoneTasks marks the tasks as done that a compact progress lists.
func (o *Owner) restoreDoneTasks(j *job, done []workflow.DoneTasks) {
	for _, d := range done {
		if d.Occurrence < j.doneThrough || d.Occurrence >= j.OccurrenceCount() {
			continue
		}
		occ, position := o.occurrence(j, d.Occurrence), 0
		for s, tasks := range occ.tasks {
			for _, t := range tasks {
				if d.Has(position) {
					t.done = true
					occ.openTasks--
					occ.undone[s]--
				}
				position++
			}
		}
	}
}

// mayOpen reports whether the job may have one more open occurrence.
func (o *Owner) mayOpen(j *job) bool {
	tasks := 0
	for _, s := range j.Steps {
		tasks += s.Count
	}
	open := len(j.occurrences)
	if open == 0 || open < maxOpenOccurrences && (open+1)*tasks <= maxOpenTasks {
		return true
	}
	if !j.isLimitLogged {
		j.isLimitLogged = true
		o.log.WithFields(logrus.Fields{
			"decision": "occurrences_limited", "job": j.ID, "open": open, "tasks": tasks, "done_through": j.doneThrough,
		}).Warn("job has as many open occurrences as it may have; later ones wait until the first ones are done")
	}
	return false
}

// mayBegin reports whether a task that never ran may begin. Those that have begun go on, so that their number falls.
func (t *task) mayBegin() bool { return t.run > 0 || t.job.begunTasks < workflow.MaxBegunTasks }
