package workflow

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Bounds of a job, which keep its records within a value of the store and a transaction.
const (
	maxSteps       = 256
	maxTasks       = 20_000
	maxSpecBytes   = 4000
	maxOccurrences = 100_000
)

// ErrInvalid says that a job is malformed.
var ErrInvalid = eris.New("invalid job")

var idPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// Step is a group of equal tasks of a job. It is immutable.
type Step struct {
	// After lists the earlier steps whose tasks must all be done first.
	After []int `cbor:"1,keyasint,omitempty"`
	Count int   `cbor:"2,keyasint"`
	// Estimate is a rough duration of a task.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// Fills says that the tasks take the processor time that others leave unused and reserve none.
	Fills bool `cbor:"4,keyasint,omitempty"`
	// Gang says that the tasks work only together.
	Gang  bool   `cbor:"5,keyasint,omitempty"`
	Image string `cbor:"6,keyasint,omitempty"`
	// Label is a label that the worker must have; empty accepts all.
	Label string `cbor:"7,keyasint,omitempty"`
	// LongRunning says that the tasks run until the job is cancelled.
	LongRunning bool `cbor:"8,keyasint,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step may be away because of the scheduler; nil leaves them
	// without a disruption budget.
	MaxUnavailable *int `cbor:"9,keyasint,omitempty"`
	// PerWorker bounds the tasks of the step on one worker; 0 means no bound.
	PerWorker int `cbor:"10,keyasint,omitempty"`
	// Rack is where the data of the tasks is; empty means anywhere.
	Rack      string          `cbor:"11,keyasint,omitempty"`
	Resources fleet.Resources `cbor:"12,keyasint"`
	// SameRack says that the tasks are slower when they are spread over racks.
	SameRack bool `cbor:"13,keyasint,omitempty"`
	// SavesProgress says that the tasks write checkpoints.
	SavesProgress bool `cbor:"14,keyasint,omitempty"`
	// Speculative says that copies of a task may run at the same time.
	Speculative bool `cbor:"15,keyasint,omitempty"`
	// TailTarget bounds the tail latency of long-running tasks; 0 means none.
	TailTarget time.Duration `cbor:"16,keyasint,omitempty"`
}

// Job is an accepted graph of steps. It is immutable.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Interval separates the due times of occurrences.
	Interval time.Duration `cbor:"2,keyasint,omitempty"`
	// Occurrences is how often the steps run; 0 means once and at once.
	Occurrences int    `cbor:"3,keyasint,omitempty"`
	Queue       string `cbor:"4,keyasint"`
	Spec        string `cbor:"5,keyasint"`
	// StartAt is when the first occurrence is due, in Unix milliseconds.
	StartAt int64  `cbor:"6,keyasint,omitempty"`
	Steps   []Step `cbor:"7,keyasint"`
	// AcceptedAt is the accepting host's time in Unix milliseconds.
	AcceptedAt int64 `cbor:"8,keyasint,omitempty"`
}

// IsID reports whether text is the id of a job.
func IsID(text string) bool { return idPattern.MatchString(text) }

// Check returns what is malformed in the job; errors match ErrInvalid.
func (j Job) Check() error {
	if !IsID(j.ID) {
		return eris.Wrapf(ErrInvalid, "id %q is not 16 hexadecimal digits", j.ID)
	}
	if len(j.Spec) > maxSpecBytes {
		return eris.Wrapf(ErrInvalid, "spec has %d bytes, at most %d are allowed", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return eris.Wrapf(ErrInvalid, "%d steps, 1 to %d are allowed", len(j.Steps), maxSteps)
	}
	if j.Occurrences < 0 || j.Occurrences > maxOccurrences || j.Occurrences > 1 && j.Interval <= 0 {
		return eris.Wrapf(ErrInvalid, "%d occurrences each %s", j.Occurrences, j.Interval)
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count <= 0 || s.Resources.HasNegative() {
			return eris.Wrapf(ErrInvalid, "step %d: count %d, resources %s", i, s.Count, s.Resources)
		}
		tasks += s.Count
		for _, a := range s.After {
			if a < 0 || a >= i {
				return eris.Wrapf(ErrInvalid, "step %d is after step %d, which is not an earlier one", i, a)
			}
		}
	}
	if tasks > maxTasks {
		return eris.Wrapf(ErrInvalid, "%d tasks, at most %d are allowed", tasks, maxTasks)
	}
	return nil
}

// Runs returns how many occurrences the job has.
func (j Job) Runs() int { return max(j.Occurrences, 1) }

// DueAt returns when an occurrence is due, in Unix milliseconds; 0 means at once.
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

// TaskKey names a task within its job.
type TaskKey struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
}

// Name returns the name of the job's task that workers know.
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

// String returns the key in the form of its task's name, without the job.
func (k TaskKey) String() string { return fmt.Sprintf("%d.%d.%d", k.Occurrence, k.Step, k.Index) }

// Chain returns the estimated duration of the job's longest chain of steps.
func (j Job) Chain() time.Duration {
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
