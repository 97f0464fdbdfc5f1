package shard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRecordAge is the age from which a change is overdue. Ends have to be acknowledged to workers within 4 s, and only once
	// they are recorded; the rest of that time is for a poll and for a repeated call.
	maxRecordAge = 1500 * time.Millisecond
	// overdueProgressPerCommit and overdueCallersPerCommit are the shares of a commit that are kept for overdue changes that
	// nobody waits for, and for overdue starts and final states. Each share takes the oldest of its changes, so that with n such
	// jobs a change is written after maxRecordAge and n / share further commits, whatever else is waiting. The rest goes by
	// urgency, restarts first. Progress includes ends that wait for their acknowledgement, so its share is the larger one.
	overdueProgressPerCommit = 16
	overdueCallersPerCommit  = 8
	// overdueCallersAfterRestarts is how many more overdue starts and final states come before other ones if restarts leave room.
	overdueCallersAfterRestarts = 12
)

// urgency ranks changed jobs by who waits for their record. Lower values are written first.
type urgency int

const (
	// urgencyOverdue: the change is overdue and within the share of such changes.
	urgencyOverdue urgency = iota
	// urgencyRestart: a long-running task that ran before has a new attempt. It is interrupted until it runs again.
	urgencyRestart
	// urgencyOverdueCaller: as urgencyCaller, but overdue, beyond the share of such changes.
	urgencyOverdueCaller
	// urgencyCaller: a task with a worker waits for its start, or a caller for the final state. Both rank the same, since both
	// delay the completion of a job.
	urgencyCaller
	// urgencyCancel: the job is cancelled. Its runs are being stopped, and callers see the cancellation already. The record of a shared
	// job is more urgent, since its guests learn of the cancellation by it.
	urgencyCancel
	// urgencyProgress: neither tasks nor callers wait for the record.
	urgencyProgress
)

func (j *job) urgency() urgency {
	switch {
	case j.restartPlanned && j.final == "":
		return urgencyRestart
	case j.cancelled && j.shared == nil:
		return urgencyCancel
	case j.startPlanned, j.final != "":
		return urgencyCaller
	}
	return urgencyProgress
}

// sortForCommit sorts changed jobs by urgency, after the shares of overdue changes. Jobs that callers wait for are sorted as in
// the backlog; otherwise, and among equals, the oldest change comes first. The jobs must be given in the order of their changes.
func sortForCommit(now time.Time, jobs []*job) {
	progress, callers := 0, 0
	urgencies := make(map[*job]urgency, len(jobs))
	for _, j := range jobs {
		u := j.urgency()
		switch {
		case now.Sub(j.dirtySince) <= maxRecordAge:
		case u == urgencyCaller:
			callers++
			if callers <= overdueCallersPerCommit {
				u = urgencyOverdue
			} else if callers <= overdueCallersPerCommit+overdueCallersAfterRestarts {
				u = urgencyOverdueCaller
			}
		case u == urgencyCancel, u == urgencyProgress:
			progress++
			if progress <= overdueProgressPerCommit {
				u = urgencyOverdue
			}
		}
		urgencies[j] = u
	}
	slices.SortStableFunc(jobs, func(a, b *job) int {
		if u := urgencies[a]; u != urgencies[b] || u != urgencyCaller {
			return cmp.Compare(u, urgencies[b])
		}
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.order.Rank, b.order.Rank))
	})
}
