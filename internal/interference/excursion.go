package interference

import (
	"math"
	"time"
)

const (
	// haltHarmfulReports is the number of reports that show a serving task above its target, each after the paces set before
	// it took effect, after which best-effort tasks with a weight of harmfulWeight or more are halted. After haltAllReports all
	// of them are. With one report, a single long tail or the noise of 11% would halt tasks whose paces suffice.
	haltHarmfulReports = 2
	haltAllReports     = 3
	// haltHarmfulAfter and haltAllAfter bound the time that these reports take, for workers with late ones. Measurements,
	// polls and the queue behind a long tail add about 1.5 s, and four seconds over the target count as harm.
	haltHarmfulAfter = 1100 * time.Millisecond
	haltAllAfter     = 1700 * time.Millisecond
	harmfulWeight    = 0.7
)

// Excursion is a period in which every report shows a serving task above its latency target. The zero value is a task below it.
type Excursion struct {
	since time.Time
	// reports counts the reports that show the effect of the paces ordered before them, the last of them at countedAt.
	reports   int
	countedAt time.Time
}

// IsOver reports whether the last report showed the task above its target.
func (e Excursion) IsOver() bool { return !e.since.IsZero() }

// LastedSince returns how long the task was above its target between the last report and the one before: on average half of that time if
// the last one is the first to show it.
func (e Excursion) LastedSince(now time.Time, sinceReport time.Duration) time.Duration {
	if e.reports == 0 && e.countedAt.Equal(now) {
		return sinceReport / 2
	}
	return sinceReport
}

// WithReport returns the excursion after a report. A tail is a ratio to its target, and pacedAt is when a pace on the worker was
// changed last. Reports that overlap the one counted before by more than half of their window add no evidence.
func (e Excursion) WithReport(now, pacedAt time.Time, tail float64) Excursion {
	switch {
	case tail <= targetTail:
		return Excursion{}
	case !e.IsOver():
		return Excursion{since: now, countedAt: now}
	case now.Sub(pacedAt) >= PaceShown && now.Sub(e.countedAt) >= PaceShown:
		e.reports, e.countedAt = e.reports+1, now
	}
	return e
}

// WithTakeover returns the excursion for an owner that took over at acquiredAt and has just seen it begin. The task may have exceeded
// its target before. If an earlier owner started it, the harmful tasks are halted at once: counted from the takeover alone, a
// series of owners would never halt them.
func (e Excursion) WithTakeover(now, acquiredAt time.Time, isInherited bool) Excursion {
	if !e.IsOver() || now.Sub(acquiredAt) >= haltAllAfter {
		return e
	}
	e.since = acquiredAt
	if latest := now.Add(-haltHarmfulAfter - time.Millisecond); isInherited && latest.Before(acquiredAt) {
		e.since = latest
	}
	return e
}

// HaltedWeight returns the weight from which on best-effort tasks beside the task are to be halted; infinity if none are.
func (e Excursion) HaltedWeight(now time.Time) float64 {
	if !e.IsOver() {
		return math.Inf(1)
	}
	switch over := now.Sub(e.since); {
	case over > haltAllAfter || e.reports >= haltAllReports:
		return 0
	case over > haltHarmfulAfter || e.reports >= haltHarmfulReports:
		return harmfulWeight
	}
	return math.Inf(1)
}
