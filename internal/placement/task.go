package placement

import (
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

// UrgentPriority is the priority from which a batch task may evict others.
const UrgentPriority = 9

// Task is a replica or a batch task that needs a worker.
type Task struct {
	// BeyondRate says that the work starts more tasks than it did recently.
	BeyondRate bool
	// FailedOn lists the workers on which the task failed before.
	FailedOn  []string
	ID        string
	Kind      note.Kind
	Priority  int
	Resources fleet.Resources
	Team      string
	Work      string
	// OnlyWorker restricts the task to the worker that it is bound to, as when no other binding can be committed.
	OnlyWorker string
	// Zone restricts the task to one zone; empty means any.
	Zone string
}

// IsLatencyCritical reports whether the task answers requests.
func (t Task) IsLatencyCritical() bool {
	return t.Kind == note.KindService || t.Kind == note.KindFeed
}

// IsUrgent reports whether the task may evict batch tasks when it fits nowhere. Replicas of services
// carry no priority and count as urgent, since batch work must not keep a service from running.
func (t Task) IsUrgent() bool {
	return t.IsLatencyCritical() || t.Priority >= UrgentPriority
}

// Held is a task that holds a reservation on a worker.
type Held struct {
	Task
	// Lost is the run time that an eviction would lose, which is the time since the last checkpoint.
	Lost time.Duration
}

// Worker is a worker with its reservations. A worker that is part of a View must not be modified.
type Worker struct {
	fleet.Host
	// ClosedToBatch says that mitigation admits no further batch task.
	ClosedToBatch bool
	Quarantined   bool
	// Reserved is at least the sum of the resources of Tasks.
	Reserved fleet.Resources
	// Suspect says that failures there are not yet attributed; such a worker is a last choice.
	Suspect bool
	Tasks   []Held
}

// Free returns what is not reserved.
func (w *Worker) Free() fleet.Resources { return w.Capacity.Sub(w.Reserved) }

// WithTask returns a copy of w that also holds t.
func (w *Worker) WithTask(t Held) *Worker {
	next := *w
	next.Reserved = w.Reserved.Add(t.Resources)
	next.Tasks = append(slices.Clip(slices.Clone(w.Tasks)), t)
	return &next
}

// WithoutTask returns a copy of w that does not hold the task, and whether w held it.
func (w *Worker) WithoutTask(id string) (*Worker, bool) {
	i := slices.IndexFunc(w.Tasks, func(h Held) bool { return h.ID == id })
	if i < 0 {
		return w, false
	}
	next := *w
	next.Reserved = w.Reserved.Sub(w.Tasks[i].Resources)
	next.Tasks = slices.Delete(slices.Clone(w.Tasks), i, i+1)
	return &next, true
}
