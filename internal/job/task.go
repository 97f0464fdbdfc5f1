package job

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// MaxPriority is the priority of the most urgent tasks.
const MaxPriority = 9

// horizon is the deadline, counted from submission, of a task that has none. It lets such tasks age among
// tasks with deadlines.
const horizon = time.Hour

// Task is a task that waits for a worker.
type Task struct {
	// BeyondRate is set by Batch if the work starts more tasks than the rate that it keeps.
	BeyondRate bool
	// Deadline is when the job should end; zero means none.
	Deadline  time.Time
	ID        string
	Job       string
	NotBefore time.Time
	// Priority is from 0 to MaxPriority; others are taken as the nearest of these.
	Priority  int
	Resources fleet.Resources
	Submitted time.Time
	Team      string
	Work      string
}

// cores returns the size of the task in cores, where memory and accelerators count as the cores that
// usually come with them.
func (t Task) cores() float64 {
	const (
		acceleratorCores = 8
		coreMiB          = 4096
		least            = 0.1
	)
	return max(least, float64(t.Resources.CPUMilli)/1000, float64(t.Resources.MemoryMiB)/coreMiB,
		float64(t.Resources.Accelerators)*acceleratorCores)
}

// due orders the tasks of one priority and team.
func (t Task) due() time.Time {
	if t.Deadline.IsZero() {
		return t.Submitted.Add(horizon)
	}
	return t.Deadline
}

func (t Task) level() int { return min(max(t.Priority, 0), MaxPriority) }
