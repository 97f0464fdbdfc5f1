package shard

import (
	"cmp"
	"slices"
	"time"
)

// maxRecordAge is the age from which a change is written before all others but restarts. Ends have to be acknowledged to workers
// within 4 s, and only once they are recorded; the rest of that time is for a poll and for a repeated call.
const maxRecordAge = 1500 * time.Millisecond

// urgency ranks changed jobs by who waits for their record. Lower values are written first.
type urgency int

const (
	// urgencyRestart: a long-running task that ran before has a new attempt. It is interrupted until it runs again.
	urgencyRestart urgency = iota
	// urgencyAge: the change is older than maxRecordAge.
	urgencyAge
	// urgencyCaller: a task with a worker waits for its start, or a caller for the final state. Both rank the same, since both
	// delay the completion of a job.
	urgencyCaller
	// urgencyCancel: the job is cancelled. Its runs are being stopped, and callers see the cancellation already.
	urgencyCancel
	// urgencyProgress: neither tasks nor callers wait for the record.
	urgencyProgress
)

func (j *job) urgency(now time.Time) urgency {
	switch {
	case j.restartPlanned && j.final == "":
		return urgencyRestart
	case now.Sub(j.dirtySince) > maxRecordAge:
		return urgencyAge
	case j.cancelled:
		return urgencyCancel
	case j.startPlanned, j.final != "":
		return urgencyCaller
	}
	return urgencyProgress
}

// sortForCommit sorts changed jobs by urgency. Jobs that callers wait for are sorted as in the backlog; otherwise, and among
// equals, the oldest change comes first. The jobs must be given in the order of their changes.
func sortForCommit(now time.Time, jobs []*job) {
	urgencies := make(map[*job]urgency, len(jobs))
	for _, j := range jobs {
		urgencies[j] = j.urgency(now)
	}
	slices.SortStableFunc(jobs, func(a, b *job) int {
		if u := urgencies[a]; u != urgencies[b] || u != urgencyCaller {
			return cmp.Compare(u, urgencies[b])
		}
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.lastRank, b.lastRank))
	})
}
