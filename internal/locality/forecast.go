package locality

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

const (
	// Never is the expected end of a run that lasts, or whose duration is not known.
	Never time.Duration = math.MaxInt64
	// reportDelay is the time from the end of a run to the start of the next one in its room: the end is listed, the next run recorded and
	// sent. It takes about 0.1 s if neither the owner nor the store is late.
	reportDelay = 100 * time.Millisecond
)

// Remaining returns how long a run of some age is expected to use its room. One that is past its expected duration is expected to take as
// long again as it is late: the later it is, the less the expected duration says of it.
func Remaining(expected, age time.Duration) time.Duration {
	if expected <= 0 {
		return Never
	}
	return max(expected-age, age-expected) + reportDelay
}

// Run is the use of a worker by a run.
type Run struct {
	Demand fleet.Resources
	// Remaining is the expected time until the run ends, or Never.
	Remaining time.Duration
}

// Worker is a worker of a rack.
type Worker struct {
	Free fleet.Resources
	ID   string
	Runs []Run
}

// Forecast says when the workers of a rack are expected to have room. It is immutable.
type Forecast struct{ workers []timeline }

// NewForecast returns the forecast for a rack with the given workers.
func NewForecast(workers []Worker) Forecast {
	f := Forecast{workers: make([]timeline, len(workers))}
	for i, w := range workers {
		f.workers[i].id, f.workers[i].free = w.ID, w.Free
		for _, r := range w.Runs {
			if r.Remaining != Never {
				f.workers[i].changes = append(f.workers[i].changes, change{at: r.Remaining, delta: r.Demand})
			}
		}
		slices.SortFunc(f.workers[i].changes, compareChanges)
	}
	return f
}

// Workers returns the number of workers of which the forecast tells.
func (f Forecast) Workers() int { return len(f.workers) }

// Task is a demand for room near the data.
type Task struct {
	Demand   fleet.Resources
	Duration time.Duration
	// Limits holds the largest number of the tasks by worker. A worker that it lacks takes none, as one that has left since the forecast.
	Limits map[string]int
}

// Place returns when each of the tasks is expected to find room, one after the other, and the forecast that remains for those that come
// after them. Tasks that find none within the horizon are left out of both.
func (f Forecast) Place(t Task, count int, horizon time.Duration) ([]time.Duration, Forecast) {
	next := Forecast{workers: slices.Clone(f.workers)}
	limits := maps.Clone(t.Limits)
	var starts []time.Duration
	for range count {
		best, at := -1, Never
		for i := range next.workers {
			if limits[next.workers[i].id] <= 0 {
				continue
			}
			if start := next.workers[i].firstFit(t, min(horizon, at)); start < at {
				best, at = i, start
			}
		}
		if best < 0 || at > horizon {
			break
		}
		limits[next.workers[best].id]--
		next.workers[best] = next.workers[best].with(t, at)
		starts = append(starts, at)
	}
	return starts, next
}

// PlaceGroup returns when all of the tasks are expected to find room at the same time, and the forecast that remains for those that come
// after them. ok is false if they find none within the horizon.
func (f Forecast) PlaceGroup(t Task, count int, horizon time.Duration) (start time.Duration, remaining Forecast, ok bool) {
	times := []time.Duration{0}
	for _, w := range f.workers {
		for _, c := range w.changes {
			if c.at <= horizon && c.delta.CPUMilli >= 0 {
				times = append(times, c.at)
			}
		}
	}
	slices.Sort(times)
	for _, at := range slices.Compact(times) {
		next, left := Forecast{workers: slices.Clone(f.workers)}, count
		for i := range next.workers {
			for n := 0; n < t.Limits[next.workers[i].id] && left > 0 && next.workers[i].fits(t, at); n++ {
				next.workers[i] = next.workers[i].with(t, at)
				left--
			}
		}
		if left == 0 {
			return at, next, true
		}
	}
	return 0, f, false
}

// change is an expected change of the free resources of a worker.
type change struct {
	at    time.Duration
	delta fleet.Resources
}

func compareChanges(a, b change) int { return cmp.Compare(a.at, b.at) }

// timeline is the expected free resources of a worker over time. Changes are in the order of their times.
type timeline struct {
	id      string
	free    fleet.Resources
	changes []change
}

// firstFit returns the first time up to the horizon at which a task fits for its whole duration, or Never.
func (l timeline) firstFit(t Task, horizon time.Duration) time.Duration {
	if l.fits(t, 0) {
		return 0
	}
	for _, c := range l.changes {
		if c.at > horizon {
			break
		}
		if l.fits(t, c.at) {
			return c.at
		}
	}
	return Never
}

// fits reports whether a task fits from a time on for its whole duration.
func (l timeline) fits(t Task, start time.Duration) bool {
	free, i := l.free, 0
	for ; i < len(l.changes) && l.changes[i].at <= start; i++ {
		free = free.Add(l.changes[i].delta)
	}
	for ; i < len(l.changes) && l.changes[i].at < start+t.Duration && t.Demand.FitsIn(free); i++ {
		free = free.Add(l.changes[i].delta)
	}
	return t.Demand.FitsIn(free)
}

// with returns the timeline with a task that starts at a time.
func (l timeline) with(t Task, start time.Duration) timeline {
	changes := append(slices.Clone(l.changes), change{at: start, delta: t.Demand.Times(-1)}, change{at: start + t.Duration, delta: t.Demand})
	slices.SortStableFunc(changes, compareChanges)
	return timeline{id: l.id, free: l.free, changes: changes}
}
