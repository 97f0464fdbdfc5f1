package shard

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// SetConfig applies a newer config. It affects tasks that have not been started yet. The last settings of a removed queue are recorded
// with its jobs, unless they are on record: the config does not tell them to the next owner.
func (o *Owner) SetConfig(c workflow.Config) {
	o.config, o.areLimitsUnchecked = c, true
	for _, j := range o.backlog {
		if o.jobs[j.ID] == j && !o.applyQueue(j) && j.final == "" && j.unrecordedQueue() != nil {
			o.markDirty(j)
		}
	}
	o.backlogUnsorted = true
}

// applyQueue copies the settings of the job's queue. It returns false if the queue has been removed: the job keeps the last ones.
func (o *Owner) applyQueue(j *job) bool {
	q, ok := o.config.Queue(j.Queue)
	if ok {
		j.queue = q.Settings()
	}
	j.priority = j.queue.Priority
	chain := time.Duration(float64(j.CriticalPath()) * max(j.queue.Stretch, 1))
	j.objective = j.acceptedAt.Add(chain + j.queue.TargetLatency)
	return ok
}

// unrecordedQueue returns the settings of the job's queue if they are known and not those on record.
func (j *job) unrecordedQueue() *workflow.QueueSettings {
	if j.queue.Service == "" || j.recordedQueue != nil && j.queue.Equal(*j.recordedQueue) {
		return nil
	}
	s := j.queue
	return &s
}

// recordQueue returns the settings that the job's progress has to hold, and takes them for recorded.
func (j *job) recordQueue() *workflow.QueueSettings {
	if s := j.unrecordedQueue(); s != nil {
		j.recordedQueue = s
	}
	if j.recordedQueue == nil || j.Settings != nil && j.recordedQueue.Equal(*j.Settings) {
		return nil
	}
	return j.recordedQueue
}
