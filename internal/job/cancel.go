package job

// jobTasks lists the tasks of a job.
type jobTasks struct {
	cancelled bool
	entries   []*entry
	// live counts the entries that are not gone.
	live int
}

// cancellation is a list of tasks of which some are not yet cancelled.
type cancellation struct {
	job string
	ids []string
}

// CancelJob starts to cancel all tasks of a job that wait. From now on none of them is taken; CancelStep
// removes them.
func (q *Queue) CancelJob(job string) {
	j, ok := q.jobs[job]
	if !ok || j.cancelled {
		return
	}
	j.cancelled = true
	q.cancels = append(q.cancels, cancellation{job: job})
}

// CancelStep cancels up to n tasks, so that starts go on between the steps. It returns the tasks that it
// removed, and the ids that did not wait and must be stopped on their workers. Both are empty once
// nothing is left to cancel.
func (q *Queue) CancelStep(n int) (removed []Task, notWaiting []string) {
	for n > 0 && len(q.cancels) > 0 {
		c := &q.cancels[0]
		if c.job != "" {
			n = q.cancelSome(c.job, n, &removed)
		}
		for len(c.ids) > 0 && n > 0 {
			id := c.ids[0]
			c.ids, n = c.ids[1:], n-1
			if e, ok := q.tasks[id]; ok {
				removed = append(removed, e.Task)
				q.cancel(e)
			} else {
				notWaiting = append(notWaiting, id)
			}
		}
		if len(c.ids) == 0 && q.isCancelled(c.job) {
			q.cancels[0] = cancellation{}
			q.cancels = q.cancels[1:]
		}
	}
	q.compact()
	return removed, notWaiting
}

// CancelTasks starts to cancel single tasks; a task may still start before CancelStep reaches it.
func (q *Queue) CancelTasks(ids []string) {
	if len(ids) > 0 {
		q.cancels = append(q.cancels, cancellation{ids: ids})
	}
}

// IsCancelling reports whether CancelStep has work left.
func (q *Queue) IsCancelling() bool { return len(q.cancels) > 0 }

func (q *Queue) cancel(e *entry) {
	if e.state == stateWaiting {
		q.dead++
	}
	q.remove(e)
}

// cancelSome takes tasks from the end of the job's list, each in constant time.
func (q *Queue) cancelSome(job string, n int, removed *[]Task) int {
	j := q.jobs[job]
	for j != nil && n > 0 && len(j.entries) > 0 {
		last := len(j.entries) - 1
		e := j.entries[last]
		j.entries[last] = nil
		j.entries = j.entries[:last]
		if e.state == stateGone {
			continue
		}
		*removed = append(*removed, e.Task)
		n--
		q.cancel(e)
	}
	return n
}

// isCancelled reports whether no task of a cancelled job is left, and forgets the job then.
func (q *Queue) isCancelled(job string) bool {
	if job == "" {
		return true
	}
	if j, ok := q.jobs[job]; ok && j.live > 0 {
		return false
	}
	delete(q.jobs, job)
	return true
}

// compact rebuilds the heaps once most of their entries are gone, so that the cost for each cancelled
// task stays constant.
func (q *Queue) compact() {
	const least = 1024
	if q.dead < least || q.dead < len(q.tasks) {
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
	q.dead = 0
}

func (j *jobTasks) compact() {
	const least = 64
	if len(j.entries) < least || len(j.entries) < 2*j.live {
		return
	}
	var kept []*entry
	for _, e := range j.entries {
		if e.state != stateGone {
			kept = append(kept, e)
		}
	}
	j.entries = kept
}
