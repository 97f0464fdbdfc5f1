package host

import (
	"maps"
	"slices"

	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// workerState is the immutable state of a worker, assembled from its reports: a full report replaces it, and other reports list
// only what changed.
type workerState struct {
	ledger.WorkerReport
	// seq is the sequence number of the last contact whose response was merged.
	seq int64
	// tasks holds the running attempts and the ends that were not acknowledged, by task.
	tasks map[string]ledger.TaskReport
}

// merge returns the state after the response to c. It leaves out the ends that c acknowledged, since the worker has forgotten them
// and the report does not mention them.
func (s workerState) merge(c ledger.Contact, r worker.Report) workerState {
	s.seq = c.Seq
	if r.Full || s.tasks == nil {
		s.tasks = nil
		s.BootID, s.Capacity, s.EpochCapable, s.Worker = r.BootID, r.Capacity, r.EpochCapable, c.Worker
	}
	tasks := map[string]ledger.TaskReport{}
	maps.Copy(tasks, s.tasks)
	for _, ack := range c.Acks {
		if tasks[ack.Task].Attempt == ack.Attempt {
			delete(tasks, ack.Task)
		}
	}
	for _, t := range r.Tasks {
		tasks[t.Task] = toTaskReport(t)
	}
	s.tasks, s.Epoch, s.Token, s.Tasks = tasks, r.Epoch, r.Token, nil
	for _, task := range slices.Sorted(maps.Keys(tasks)) {
		s.Tasks = append(s.Tasks, tasks[task])
	}
	return s
}

func toTaskReport(t worker.Task) ledger.TaskReport {
	phase := ledger.PhaseRunning
	switch t.Phase {
	case worker.PhaseCancelled:
		phase = ledger.PhaseStopped
	case worker.PhaseDone:
		phase = ledger.PhaseDone
	case worker.PhaseEvicted:
		phase = ledger.PhaseStopped
		if t.Reason == worker.ReasonLeaseExpired {
			phase = ledger.PhaseExpired
		}
	case worker.PhaseFailed:
		phase = ledger.PhaseFailed
	case worker.PhaseRunning:
	}
	return ledger.TaskReport{
		Attempt: int(t.Attempt), Checkpoint: t.Checkpoint, Phase: phase, Reason: t.Reason, Task: t.Task,
	}
}
