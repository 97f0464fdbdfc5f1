package shard

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// endedMemory is how long the final state of a job is remembered. Messages about a job and writes of its records may arrive late and must not
// start it again, but a job may be submitted under the same id once its final state has expired.
const endedMemory = time.Minute

// endedJobs holds the final states of the jobs that ended within endedMemory.
type endedJobs struct {
	// order holds the jobs in the order in which they ended.
	order  []endedState
	states map[string]workflow.State
}

// endedState is a job that ended at a time.
type endedState struct {
	at time.Time
	id string
}

func (e *endedJobs) put(now time.Time, id string, s workflow.State) {
	if e.states == nil {
		e.states = map[string]workflow.State{}
	}
	e.forget(now)
	if e.states[id] == "" {
		e.order, e.states[id] = append(e.order, endedState{now, id}), s
	}
}

// state returns the final state of a job, or none.
func (e *endedJobs) state(now time.Time, id string) workflow.State {
	e.forget(now)
	return e.states[id]
}

func (e *endedJobs) forget(now time.Time) {
	for len(e.order) > 0 && now.Sub(e.order[0].at) >= endedMemory {
		delete(e.states, e.order[0].id)
		e.order = e.order[1:]
	}
}
