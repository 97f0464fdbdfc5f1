package job

// jobTasks lists the queued tasks of a job.
type jobTasks struct {
	cancelled bool
	entries   []*entry
	// remaining counts the entries that are not removed.
	remaining int
}

// cancellation is a cancellation in progress: of all tasks of a job, or of the tasks in ids if job is empty. Tasks that are
// cancelled are removed from ids.
type cancellation struct {
	job string
	ids []string
}

// CancelJob starts to cancel all queued tasks of a job. From now on none of them is taken; CancelStep removes
// them from the queue.
func (q *Queue) CancelJob(job string) {
	j, ok := q.jobs[job]
	if !ok || j.cancelled {
		return
	}
	j.cancelled = true
	q.cancels = append(q.cancels, cancellation{job: job})
}

// CancelStep cancels up to n tasks, so that a large cancellation does not block starts. It returns the tasks that it
// removed from the queue, and the ids of tasks that were not queued and must be stopped on their workers. Both are
// empty once nothing is left to cancel.
func (q *Queue) CancelStep(n int) (removed []Task, notQueued []string) {
	for n > 0 && len(q.cancels) > 0 {
		c := &q.cancels[0]
		if c.job != "" {
			n = q.cancelJobTasks(c.job, n, &removed)
		}
		for len(c.ids) > 0 && n > 0 {
			id := c.ids[0]
			c.ids, n = c.ids[1:], n-1
			if e, ok := q.tasks[id]; ok {
				removed = append(removed, e.Task)
				q.cancel(e)
			} else {
				notQueued = append(notQueued, id)
			}
		}
		if len(c.ids) == 0 && q.finishCancellation(c.job) {
			q.cancels[0] = cancellation{}
			q.cancels = q.cancels[1:]
		}
	}
	q.compact()
	return removed, notQueued
}

// CancelTasks starts to cancel single tasks. Unlike with CancelJob, a task may still start before CancelStep reaches
// it.
func (q *Queue) CancelTasks(ids []string) {
	if len(ids) > 0 {
		q.cancels = append(q.cancels, cancellation{ids: ids})
	}
}

// IsCancelling reports whether CancelStep has tasks left to cancel.
func (q *Queue) IsCancelling() bool { return len(q.cancels) > 0 }

func (q *Queue) cancel(e *entry) {
	if e.state == stateWaiting {
		q.removedEntries++
	}
	q.remove(e)
}

// cancelJobTasks cancels up to n tasks from the end of the job's list, each in constant time, and appends them to removed.
// It returns how many of the n may still be cancelled.
func (q *Queue) cancelJobTasks(job string, n int, removed *[]Task) int {
	j := q.jobs[job]
	for j != nil && n > 0 && len(j.entries) > 0 {
		last := len(j.entries) - 1
		e := j.entries[last]
		j.entries[last] = nil
		j.entries = j.entries[:last]
		if e.state == stateRemoved {
			continue
		}
		*removed = append(*removed, e.Task)
		n--
		q.cancel(e)
	}
	return n
}

// finishCancellation reports whether all tasks of a cancelled job are removed, and deletes the job if so.
func (q *Queue) finishCancellation(job string) bool {
	if job == "" {
		return true
	}
	if j, ok := q.jobs[job]; ok && j.remaining > 0 {
		return false
	}
	delete(q.jobs, job)
	return true
}

// compact rebuilds the heaps once at least half of their entries are removed ones, which keeps the amortised cost
// of a cancelled task constant.
func (q *Queue) compact() {
	const minRemoved = 1024
	if q.removedEntries < minRemoved || q.removedEntries < len(q.tasks) {
		return
	}
	for i := range q.levels {
		q.levels[i].compact()
	}
	delayed := q.delayed.entries
	q.delayed.entries = nil
	for _, e := range delayed {
		if e.state == stateWaiting {
			q.enqueue(e)
		}
	}
	q.removedEntries = 0
}

// compact drops removed entries once they are at least half of the list.
func (j *jobTasks) compact() {
	const minEntries = 64
	if len(j.entries) < minEntries || len(j.entries) < 2*j.remaining {
		return
	}
	var kept []*entry
	for _, e := range j.entries {
		if e.state != stateRemoved {
			kept = append(kept, e)
		}
	}
	j.entries = kept
}
