package job

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// MaxPriority is the highest priority, that of the most urgent tasks.
const MaxPriority = 9

// defaultDeadline is the time after submission that counts as the deadline of a task without one, so that such tasks
// are not starved by tasks with deadlines.
const defaultDeadline = time.Hour

// Task is a task that waits to be bound to a worker.
type Task struct {
	// BeyondRate is set on a taken task that exceeds the kept rate of its workload.
	BeyondRate bool
	// Deadline is the time by which the job should end; zero means none.
	Deadline  time.Time
	ID        string
	Job       string
	NotBefore time.Time
	// Priority is from 0 to MaxPriority; other values are clamped to this range.
	Priority  int
	Resources fleet.Resources
	Submitted time.Time
	Team      string
	Work      string
}

// coreEquivalents returns the size of the task in cores: the largest of its cores and of the cores that usually come
// with its memory and accelerators on a worker.
func (t Task) coreEquivalents() float64 {
	const (
		acceleratorCores = 8
		coreMiB          = 4096
		minCores         = 0.1
	)
	return max(minCores, float64(t.Resources.CPUMilli)/1000, float64(t.Resources.MemoryMiB)/coreMiB,
		float64(t.Resources.Accelerators)*acceleratorCores)
}

// due returns the time by which tasks of the same priority and team are ordered, earliest first.
func (t Task) due() time.Time {
	if t.Deadline.IsZero() {
		return t.Submitted.Add(defaultDeadline)
	}
	return t.Deadline
}

func (t Task) clampedPriority() int { return min(max(t.Priority, 0), MaxPriority) }
