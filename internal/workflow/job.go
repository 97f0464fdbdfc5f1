package workflow

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Limits of a job, which keep its records within the store's limits for a value and a transaction.
const (
	// MaxSteps is the largest number of steps.
	MaxSteps = 256
	// MaxTasks is the largest number of tasks of an occurrence.
	MaxTasks     = 20_000
	maxSpecBytes = 4000
	// MaxBegunTasks is the largest number of a job's tasks that have begun and are not done. Each has a record of its own.
	MaxBegunTasks = 8000
	// MaxOccurrences is the largest number of occurrences.
	MaxOccurrences = 100_000
)

// ErrInvalid is matched by the errors of malformed jobs, task names and records.
var ErrInvalid = eris.New("invalid job")

var idPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// Step is a group of identical tasks of a job. It is immutable.
type Step struct {
	// After lists the indexes of the earlier steps whose tasks must all be done first.
	After []int `cbor:"1,keyasint,omitempty"`
	Count int   `cbor:"2,keyasint"`
	// Estimate is the estimated duration of a task.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// BestEffort marks best-effort tasks: they reserve no processor time and use what other tasks leave idle.
	BestEffort bool `cbor:"4,keyasint,omitempty"`
	// Gang marks tasks that can only run all at the same time (gang scheduling).
	Gang  bool   `cbor:"5,keyasint,omitempty"`
	Image string `cbor:"6,keyasint,omitempty"`
	// Label is a label that the worker must have; empty matches every worker.
	Label string `cbor:"7,keyasint,omitempty"`
	// LongRunning marks tasks that run until the job is cancelled.
	LongRunning bool `cbor:"8,keyasint,omitempty"`
	// MaxUnavailable is the disruption budget of a long-running step: how many of its tasks the scheduler may make
	// unavailable at a time; nil means no budget.
	MaxUnavailable *int `cbor:"9,keyasint,omitempty"`
	// PerWorker is the maximum number of the step's tasks on one worker; 0 means no limit.
	PerWorker int `cbor:"10,keyasint,omitempty"`
	// Rack is the rack that holds the data of the tasks; empty means any rack.
	Rack      string          `cbor:"11,keyasint,omitempty"`
	Resources fleet.Resources `cbor:"12,keyasint"`
	// SameRack marks tasks that are slower when they are spread over several racks.
	SameRack bool `cbor:"13,keyasint,omitempty"`
	// SavesProgress marks tasks that write checkpoints.
	SavesProgress bool `cbor:"14,keyasint,omitempty"`
	// Speculative allows copies of a task to run at the same time (speculative execution).
	Speculative bool `cbor:"15,keyasint,omitempty"`
	// TailTarget is the target for the tail latency of long-running tasks; 0 means none.
	TailTarget time.Duration `cbor:"16,keyasint,omitempty"`
}

// Job is an accepted graph of steps. It is immutable.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Interval is the time between the due times of two occurrences.
	Interval time.Duration `cbor:"2,keyasint,omitempty"`
	// Occurrences is the number of times that the steps run; 0 means once, immediately.
	Occurrences int    `cbor:"3,keyasint,omitempty"`
	Queue       string `cbor:"4,keyasint"`
	Spec        string `cbor:"5,keyasint"`
	// StartAt is when the first occurrence is due, in Unix milliseconds.
	StartAt int64  `cbor:"6,keyasint,omitempty"`
	Steps   []Step `cbor:"7,keyasint"`
	// AcceptedAt is the time of acceptance by the accepting host's clock, in Unix milliseconds.
	AcceptedAt int64 `cbor:"8,keyasint,omitempty"`
	// Settings holds the settings of the queue under which the job was accepted; nil in records of older builds.
	Settings *QueueSettings `cbor:"9,keyasint,omitempty"`
}

// IsID reports whether text has the form of a job id.
func IsID(text string) bool { return idPattern.MatchString(text) }

// Check validates the job; errors match ErrInvalid.
func (j Job) Check() error {
	if !IsID(j.ID) {
		return eris.Wrapf(ErrInvalid, "id %q is not 16 hexadecimal digits", j.ID)
	}
	if len(j.Spec) > maxSpecBytes {
		return eris.Wrapf(ErrInvalid, "spec has %d bytes, at most %d are allowed", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return eris.Wrapf(ErrInvalid, "%d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if j.Occurrences < 0 || j.Occurrences > MaxOccurrences || j.Occurrences > 1 && j.Interval <= 0 {
		return eris.Wrapf(ErrInvalid, "%d occurrences each %s", j.Occurrences, j.Interval)
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count <= 0 || s.Resources.HasNegative() {
			return eris.Wrapf(ErrInvalid, "step %d: count %d, resources %s", i, s.Count, s.Resources)
		}
		tasks += min(s.Count, MaxTasks+1) // a larger sum could overflow
		for _, a := range s.After {
			if a < 0 || a >= i {
				return eris.Wrapf(ErrInvalid, "step %d is after step %d, which is not an earlier one", i, a)
			}
		}
	}
	if tasks > MaxTasks {
		return eris.Wrapf(ErrInvalid, "%d tasks, at most %d are allowed", tasks, MaxTasks)
	}
	return nil
}

// OccurrenceCount returns the number of occurrences of the job.
func (j Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// DueAt returns when an occurrence is due, in Unix milliseconds; 0 means immediately.
func (j Job) DueAt(occurrence int) int64 {
	if j.Occurrences == 0 {
		return 0
	}
	return j.StartAt + int64(occurrence)*j.Interval.Milliseconds()
}

// IsLongRunning reports whether a step of the job runs until it is cancelled.
func (j Job) IsLongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// Lasts reports whether all tasks of the job run until it is cancelled.
func (j Job) Lasts() bool {
	return !slices.ContainsFunc(j.Steps, func(s Step) bool { return !s.LongRunning })
}

// TaskCount returns the number of tasks of an occurrence.
func (j Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// TaskKey identifies a task within its job.
type TaskKey struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
}

// Name returns the name by which workers know the task.
func (k TaskKey) Name(job string) string {
	return job + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step) + "." + strconv.Itoa(k.Index)
}

// ParseTaskName splits the name of a task; errors match ErrInvalid.
func ParseTaskName(name string) (job string, k TaskKey, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", k, eris.Wrapf(ErrInvalid, "task name %q", name)
	}
	var n [3]int
	for i := range n {
		if n[i], err = strconv.Atoi(parts[i+1]); err != nil {
			return "", k, eris.Wrapf(ErrInvalid, "task name %q", name)
		}
	}
	return parts[0], TaskKey{Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// String returns the task's name without the job.
func (k TaskKey) String() string { return fmt.Sprintf("%d.%d.%d", k.Occurrence, k.Step, k.Index) }

// CriticalPath returns the estimated duration of the critical path through the job's steps.
func (j Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// ChainAfter returns the estimated duration of the longest chain of steps that follow a step.
func (j Job) ChainAfter(step int) time.Duration {
	chains := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i > step; i-- {
		for _, before := range j.Steps[i].After {
			chains[before] = max(chains[before], chains[i]+j.Steps[i].Estimate)
		}
	}
	return chains[step]
}
