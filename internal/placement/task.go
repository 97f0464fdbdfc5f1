package placement

import (
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

// UrgentPriority is the lowest priority at which a batch task may evict others.
const UrgentPriority = 9

// Task is a replica of a service or a batch task that is to be placed on a worker.
type Task struct {
	// BeyondRate is set if the work starts tasks at a higher rate than it did recently.
	BeyondRate bool
	// FailedOn lists the workers on which earlier attempts of the task failed.
	FailedOn  []string
	ID        string
	Kind      note.Kind
	Priority  int
	Resources fleet.Resources
	Team      string
	Work      string
	// OnlyWorker restricts the task to the worker to which it is already bound, for example while the store is
	// unavailable and no other binding can be committed. Empty means any worker.
	OnlyWorker string
	// Zone restricts the task to one zone. Empty means any zone.
	Zone string
}

// IsLatencyCritical reports whether the task answers requests.
func (t Task) IsLatencyCritical() bool {
	return t.Kind == note.KindService || t.Kind == note.KindFeed
}

// IsUrgent reports whether the task may evict batch tasks if no worker has enough free capacity. Replicas of
// services and feeds have no priority and are always urgent, since batch work must not keep them from running.
func (t Task) IsUrgent() bool {
	return t.IsLatencyCritical() || t.Priority >= UrgentPriority
}

// PlacedTask is a task with a reservation on a worker.
type PlacedTask struct {
	Task
	// UnsavedRunTime is the run time since the last checkpoint, which is lost if the task is evicted.
	UnsavedRunTime time.Duration
}

// Worker is a host with its reservations. A Worker that is part of a View must not be modified.
type Worker struct {
	fleet.Host
	// ClosedToBatch is set while interference mitigation admits no further batch tasks.
	ClosedToBatch bool
	Quarantined   bool
	// Reserved is at least the sum of the resources of Tasks.
	Reserved fleet.Resources
	// Suspect is set while failures on the worker are not yet attributed to it or to a job. Such a worker is
	// chosen last.
	Suspect bool
	Tasks   []PlacedTask
}

// Free returns the unreserved resources.
func (w *Worker) Free() fleet.Resources { return w.Capacity.Sub(w.Reserved) }

// WithTask returns a copy of w on which t is reserved as well.
func (w *Worker) WithTask(t PlacedTask) *Worker {
	next := *w
	next.Reserved = w.Reserved.Add(t.Resources)
	next.Tasks = append(slices.Clip(slices.Clone(w.Tasks)), t)
	return &next
}

// WithoutTask returns a copy of w without the task, and whether w had it.
func (w *Worker) WithoutTask(id string) (*Worker, bool) {
	i := slices.IndexFunc(w.Tasks, func(h PlacedTask) bool { return h.ID == id })
	if i < 0 {
		return w, false
	}
	next := *w
	next.Reserved = w.Reserved.Sub(w.Tasks[i].Resources)
	next.Tasks = slices.Delete(slices.Clone(w.Tasks), i, i+1)
	return &next, true
}
