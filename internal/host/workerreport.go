package host

import (
	"maps"
	"slices"

	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// workerReport is the full state of a worker, updated from reports that list changes only.
type workerReport struct {
	ledger.WorkerReport
	tasks map[string]ledger.TaskReport
}

// merge applies a report and returns the full state.
func (w *workerReport) merge(c ledger.Contact, r worker.Report) ledger.WorkerReport {
	if r.Full || w.tasks == nil {
		w.tasks = map[string]ledger.TaskReport{}
		w.BootID, w.Capacity, w.EpochCapable, w.Worker = r.BootID, r.Capacity, r.EpochCapable, c.Worker
	}
	for _, ack := range c.Acks {
		if w.tasks[ack.Task].Attempt == ack.Attempt {
			delete(w.tasks, ack.Task)
		}
	}
	for _, t := range r.Tasks {
		w.tasks[t.Task] = toTaskReport(t)
	}
	w.Epoch, w.Token, w.Tasks = r.Epoch, r.Token, nil
	for _, task := range slices.Sorted(maps.Keys(w.tasks)) {
		w.Tasks = append(w.Tasks, w.tasks[task])
	}
	return w.WorkerReport
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
