package fake

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Execution is one request that a worker ran.
type Execution struct {
	At      time.Time
	ID      string
	Key     string
	Service string
	Worker  string
}

// Journal records what all workers of a test ran, by one clock.
type Journal struct {
	advance    []func()
	executions []Execution
	faults     []string
	mu         sync.Mutex
	notRun     map[string]bool
	now        func() time.Time
	runs       []Run
}

// Run is the time in which a worker ran an attempt of a task.
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
	return &Journal{notRun: map[string]bool{}, now: now}
}

// Check returns every violation up to now: a task that ran in two places at once or repeated an attempt, a
// key that was executed twice, a request that ran although it was told not_run, or a capacity exceeded.
func (j *Journal) Check() []string {
	runs, executions := j.Runs(), j.Executions()
	j.mu.Lock()
	defer j.mu.Unlock()
	faults := slices.Clone(j.faults)
	slices.SortStableFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), a.Start.Compare(b.Start))
	})
	last := map[string]Run{}
	for _, r := range runs {
		// prev is the run of the task that ends last, which need not be the one that started last.
		if prev, ok := last[r.Task]; ok {
			if prev.End.IsZero() || r.Start.Before(prev.End) {
				faults = append(faults, fmt.Sprintf("task %s: attempt %d on %s overlaps attempt %d on %s",
					r.Task, r.Attempt, r.Worker, prev.Attempt, prev.Worker))
			}
			if r.Attempt <= prev.Attempt {
				faults = append(faults, fmt.Sprintf("task %s: attempt %d ran on %s after attempt %d on %s",
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
		if j.notRun[e.ID] {
			faults = append(faults, fmt.Sprintf("request %s: told not_run, ran on %s", e.ID, e.Worker))
		}
		if e.Key == "" {
			continue
		}
		if prev, ok := first[e.Key]; ok {
			faults = append(faults, fmt.Sprintf("key %s: ran as %s on %s and as %s on %s",
				e.Key, prev.ID, prev.Worker, e.ID, e.Worker))
		}
		first[e.Key] = e
	}
	return faults
}

// Executions returns the requests that ran, in order.
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

// ToldNotRun records that the caller of a request was told not_run.
func (j *Journal) ToldNotRun(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.notRun[id] = true
}

func (j *Journal) end(run int, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[run].End = at
}

func (j *Journal) execute(e Execution) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.At = j.now()
	j.executions = append(j.executions, e)
}

func (j *Journal) fault(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}

func (j *Journal) register(advance func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.advance = append(j.advance, advance)
}

func (j *Journal) start(r Run) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.Start = j.now()
	j.runs = append(j.runs, r)
	return len(j.runs) - 1
}
