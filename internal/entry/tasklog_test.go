package entry_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// maxReportedEvents is the number of events of a task that are printed if it broke a guarantee.
const maxReportedEvents = 20

// speculativeGrace is how long after an acknowledged end a task of a speculative step may start. A late call may start it at any time.
const speculativeGrace = time.Second

// simulatedMaxAttempts is the number of failed runs of a task after which it must not start again, as the simulated config says.
const simulatedMaxAttempts = 3

// taskLog records the starts and ends of tasks on all workers.
type taskLog struct {
	// failAfter returns how long a run of a long-running task lasts until it fails; 0 means that it does not fail.
	failAfter func() time.Duration
	// done holds when the end EndDone of each task was acknowledged that has one.
	done map[string]time.Time
	// idleSince is when the last run of each expected task ended that does not run.
	idleSince map[string]time.Time
	calmSince time.Time
	// endOf, if set, returns after what time a run ends, and how; 0 means that it does not end by itself.
	endOf func(worker string, s shard.Start, step workflow.Step) (time.Duration, shard.EndCause)
	// expected holds the accepted long-running jobs.
	expected map[string]bool
	// forgotten holds those of them that need not run any more.
	forgotten map[string]bool
	// jobs holds the jobs that were handed in.
	jobs map[string]workflow.Job
	// history holds the events of each task, which are added to the description of a violation.
	history map[string][]string
	// longest is the longest time that longestOf, an expected task, had nothing running, as the rule counts it.
	longest   time.Duration
	longestOf string
	mu        sync.Mutex
	// over describes the workers that were given more runs than they have room for.
	over    []string
	running map[string]string
	// starts counts the starts of each task.
	starts map[string]int
	// failures holds, for each acknowledged failed end of a task, how often the task had started before it, in ascending order.
	failures map[string][]int
	// failedAt is when the last failed run of each task ended.
	failedAt map[string]time.Time
	// isBeyondLimit is set for tasks that are reported because of their failed ends.
	isBeyondLimit map[string]bool
	// limitAt is when the last failed end was acknowledged that a task of a speculative step may have.
	limitAt map[string]time.Time
	// violations describes the tasks that ran on two workers at the same time, again after an end as done, or again after
	// simulatedMaxAttempts failed ends. The ends count that were acknowledged then or later.
	violations []string
}

func newTaskLog() *taskLog {
	return &taskLog{
		expected: map[string]bool{}, forgotten: map[string]bool{}, failAfter: func() time.Duration { return 0 },
		done: map[string]time.Time{}, history: map[string][]string{}, idleSince: map[string]time.Time{}, jobs: map[string]workflow.Job{},
		running: map[string]string{}, starts: map[string]int{}, failures: map[string][]int{}, failedAt: map[string]time.Time{}, isBeyondLimit: map[string]bool{}, limitAt: map[string]time.Time{},
	}
}

// note adds an event to the history of a task.
func (l *taskLog) note(name, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(name, format, args...)
}

// add adds an event to the history of a task. The caller holds l.mu.
func (l *taskLog) add(name, format string, args ...any) {
	l.history[name] = append(l.history[name], time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

// report adds a task to those that broke a guarantee. The caller holds l.mu.
func (l *taskLog) report(name, format string, args ...any) {
	events := l.history[name]
	events = events[max(len(events)-maxReportedEvents, 0):]
	l.violations = append(l.violations, name+" "+fmt.Sprintf(format, args...)+"\n    "+strings.Join(events, "\n    "))
}

// reportBeyondLimit reports the first start of a task beyond its limit. The caller holds l.mu.
func (l *taskLog) reportBeyondLimit(name, format string, args ...any) {
	if !l.isBeyondLimit[name] {
		l.isBeyondLimit[name] = true
		l.report(name, format, args...)
	}
}

// acknowledged notes that a poll acknowledged the end of a run while it counted.
func (l *taskLog) acknowledged(worker string, lifetime int, e listedEnd, p shard.Poll) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := e.Key.Name(e.Job)
	l.add(name, "end number %d of %s, lifetime %d, is acknowledged by a poll up to %d, token %d", e.Number, worker, lifetime, p.LastSeen, p.Token)
	if e.Cause == shard.EndFailed {
		l.countFailure(name, e)
	}
	if e.Cause != shard.EndDone {
		return
	}
	if l.starts[name] > e.starts && !l.isSpeculative(e.Job, e.Key.Step) {
		l.report(name, "has started after the end of run %d on %s, which is acknowledged", e.Run, worker)
	}
	if l.done[name].IsZero() {
		l.done[name] = time.Now()
	}
}

// countFailure counts an acknowledged failed end and checks that the task has not started after the last one that it may have. The caller
// holds l.mu.
func (l *taskLog) countFailure(name string, e listedEnd) {
	if j, isKnown := l.jobs[e.Job]; !isKnown || j.Steps[e.Key.Step].LongRunning {
		return
	}
	failures := append(l.failures[name], e.starts)
	slices.Sort(failures)
	l.failures[name] = failures
	if len(failures) < simulatedMaxAttempts {
		return
	}
	if l.limitAt[name].IsZero() {
		l.limitAt[name] = time.Now()
	}
	if l.starts[name] > failures[simulatedMaxAttempts-1] && !l.isSpeculative(e.Job, e.Key.Step) {
		l.reportBeyondLimit(name, "has started after %d failed ends, the last of which is acknowledged now", simulatedMaxAttempts)
	}
}

// isSpeculative reports whether tasks of a step may run more than once at a time. The caller holds l.mu.
func (l *taskLog) isSpeculative(job string, step int) bool {
	j, isKnown := l.jobs[job]
	return isKnown && j.Steps[step].Speculative
}

// setFailAfter sets how long runs of long-running tasks last that start from now on.
func (l *taskLog) setFailAfter(failAfter func() time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failAfter = failAfter
}

func (l *taskLog) expect(job string, tasks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected[job] = true
	for i := range tasks {
		l.idleSince[workflow.TaskKey{Index: i}.Name(job)] = time.Now()
	}
}

func (l *taskLog) isExpected(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expected[job]
}

// started notes and checks a start that a worker carries out, perhaps late, and returns after what time the run ends, and how.
func (l *taskLog) started(worker string, lifetime int, s shard.Start, isLate bool) (time.Duration, shard.EndCause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := s.Key.Name(s.Job)
	j, isKnown := l.jobs[s.Job]
	l.add(name, "run %d starts on %s, lifetime %d, token %d", s.Run, worker, lifetime, s.Token)
	l.starts[name]++
	if other, ok := l.running[name]; ok && !l.isSpeculative(s.Job, s.Key.Step) {
		l.report(name, "runs on %s and %s", other, worker)
	}
	if since := l.done[name]; !since.IsZero() && !(l.isSpeculative(s.Job, s.Key.Step) && (isLate || time.Since(since) <= speculativeGrace)) {
		l.report(name, "starts on %s after it was done", worker)
	}
	mayStart := l.isSpeculative(s.Job, s.Key.Step) && (isLate || time.Since(l.limitAt[name]) <= speculativeGrace)
	if len(l.failures[name]) >= simulatedMaxAttempts && !mayStart {
		l.reportBeyondLimit(name, "starts on %s after %d acknowledged failed ends", worker, simulatedMaxAttempts)
	}
	l.running[name] = worker
	if since, ok := l.idleSince[name]; ok {
		l.noteIdle(name, since)
		delete(l.idleSince, name)
	}
	if isKnown && l.endOf != nil {
		return l.endOf(worker, s, j.Steps[s.Key.Step])
	}
	if l.expected[s.Job] {
		return l.failAfter(), shard.EndFailed
	}
	return shortTaskDuration, shard.EndDone
}

// addJob notes a job that is handed in.
func (l *taskLog) addJob(j workflow.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[j.ID] = j
}

// step returns the step of a run, or nil if its job was not handed in by addJob.
func (l *taskLog) step(s shard.Start) *workflow.Step {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j, ok := l.jobs[s.Job]; ok {
		return &j.Steps[s.Key.Step]
	}
	return nil
}

func (l *taskLog) noteOver(worker string, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = append(l.over, fmt.Sprintf("%s has %d runs", worker, runs))
}

// ended notes the end of a task's run, which the arguments describe, and returns how often the task has started.
func (l *taskLog) ended(name string, cause shard.EndCause, format string, args ...any) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cause == shard.EndFailed {
		l.failedAt[name] = time.Now()
	}
	l.add(name, format, args...)
	delete(l.running, name)
	if job, _, _ := strings.Cut(name, "."); l.expected[job] && !l.forgotten[job] {
		l.idleSince[name] = time.Now()
	}
	return l.starts[name]
}

// forget ends the expectation that the tasks of a job run.
func (l *taskLog) forget(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgotten[job] = true
	for name := range l.idleSince {
		if strings.HasPrefix(name, job+".") {
			delete(l.idleSince, name)
		}
	}
}

// noteIdle records how long a task had nothing running that the rule counts: from restartGrace after its last run, while there is
// calm. The caller holds l.mu.
func (l *taskLog) noteIdle(name string, since time.Time) {
	from := since.Add(restartGrace)
	if calm := l.calmSince.Add(contactTime); from.Before(calm) {
		from = calm
	}
	if d := time.Since(from); d > l.longest {
		l.longest, l.longestOf = d, name
	}
}

// calm begins a calm span.
func (l *taskLog) calm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calmSince, l.longest = time.Now(), -time.Hour
}

// longestCounted returns the longest time that a task had nothing running in the calm span, as the rule counts it, and the task.
func (l *taskLog) longestCounted() (time.Duration, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, since := range l.idleSince {
		l.noteIdle(name, since)
	}
	return l.longest, l.longestOf
}

// idle returns when the last run of each expected task ended that has nothing running.
func (l *taskLog) idle() map[string]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.idleSince)
}
