package fake

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Execution is a request that a worker admitted and ran.
type Execution struct {
	At      time.Time
	ID      string
	Key     string
	Service string
	Worker  string
}

// Journal records the requests and task attempts that all workers of a test ran. Its clock stamps every entry, so that
// entries of workers whose clocks differ can be compared.
type Journal struct {
	// advance holds a function for each worker that brings its tasks up to the present.
	advance        []func()
	executions     []Execution
	violations     []string
	mu             sync.Mutex
	reportedNotRun map[string]bool
	now            func() time.Time
	runs           []Run
}

// Run is the period in which a worker ran an attempt of a task.
type Run struct {
	Attempt int64
	// End is zero while the attempt runs.
	End    time.Time
	Start  time.Time
	Task   string
	Work   string
	Worker string
}

// NewJournal returns an empty journal on the given clock.
func NewJournal(now func() time.Time) *Journal {
	return &Journal{reportedNotRun: map[string]bool{}, now: now}
}

// Check returns every violation up to now: overlapping attempts of a task, an attempt that is not newer than an earlier
// one of its task, an idempotency key that was executed twice, a request that ran although its caller was told
// not_run, and a request or start beyond a worker's capacity.
func (j *Journal) Check() []string {
	runs, executions := j.Runs(), j.Executions()
	j.mu.Lock()
	defer j.mu.Unlock()
	violations := slices.Clone(j.violations)
	slices.SortStableFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), a.Start.Compare(b.Start))
	})
	last := map[string]Run{}
	for _, r := range runs {
		// last holds the run of each task that ends last, which need not be the one that started last.
		if prev, ok := last[r.Task]; ok {
			if prev.End.IsZero() || r.Start.Before(prev.End) {
				violations = append(violations, fmt.Sprintf("task %s: attempt %d on %s overlaps attempt %d on %s",
					r.Task, r.Attempt, r.Worker, prev.Attempt, prev.Worker))
			}
			if r.Attempt <= prev.Attempt {
				violations = append(violations, fmt.Sprintf("task %s: attempt %d ran on %s after attempt %d on %s",
					r.Task, r.Attempt, r.Worker, prev.Attempt, prev.Worker))
			}
			if prev.End.IsZero() || (!r.End.IsZero() && r.End.Before(prev.End)) {
				continue
			}
		}
		last[r.Task] = r
	}
	first := map[string]Execution{}
	for _, e := range executions {
		if j.reportedNotRun[e.ID] {
			violations = append(violations,
				fmt.Sprintf("request %s: its caller was told not_run, but it ran on %s", e.ID, e.Worker))
		}
		if e.Key == "" {
			continue
		}
		if prev, ok := first[e.Key]; ok {
			violations = append(violations, fmt.Sprintf("key %s: executed as request %s on %s and as request %s on %s",
				e.Key, prev.ID, prev.Worker, e.ID, e.Worker))
		}
		first[e.Key] = e
	}
	return violations
}

// Executions returns the requests that were admitted up to now, in order of admission.
func (j *Journal) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.executions)
}

// Runs returns the runs of all tasks up to now, in order of their start.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	advance := slices.Clone(j.advance)
	j.mu.Unlock()
	for _, f := range advance {
		f()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.runs)
}

// RecordNotRun records that the caller of a request received the outcome not_run, so that Check reports the request if
// a worker ran it.
func (j *Journal) RecordNotRun(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.reportedNotRun[id] = true
}

func (j *Journal) endRun(run int, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[run].End = at
}

func (j *Journal) addExecution(e Execution) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.At = j.now()
	j.executions = append(j.executions, e)
}

func (j *Journal) addViolation(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

func (j *Journal) registerWorker(advance func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.advance = append(j.advance, advance)
}

func (j *Journal) startRun(r Run) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.Start = j.now()
	j.runs = append(j.runs, r)
	return len(j.runs) - 1
}
