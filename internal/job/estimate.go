package job

import (
	"math"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

const (
	// decline is the part of an excess over current usage that remains after each report.
	decline     = 0.95
	maxEstimate = 2048
	// newest is the least weight of the newest run time, so that estimates follow changes of the work.
	newest = 0.1
)

// Estimates learns the run time and the usage of each work. They shape preference only; reservations are
// the declared sizes.
type Estimates struct {
	works map[string]*estimate
}

type estimate struct {
	// logRun is the mean logarithm of the run time in seconds, since run times are off by factors.
	logRun float64
	runs   int
	seen   time.Time
	usage  fleet.Resources
	// usageAt is when the newest usage was measured.
	usageAt time.Time
}

// NewEstimates returns Estimates that know nothing.
func NewEstimates() *Estimates { return &Estimates{works: map[string]*estimate{}} }

// Finished takes the run time of a task into account that succeeded.
func (e *Estimates) Finished(work string, ranFor time.Duration, now time.Time) {
	if ranFor <= 0 {
		return
	}
	w := e.work(work, now)
	w.runs++
	w.logRun += (math.Log(ranFor.Seconds()) - w.logRun) * max(newest, 1/float64(w.runs))
}

// RunTime returns the expected run time of a task. The declared value counts as one run.
func (e *Estimates) RunTime(work string, declared time.Duration) time.Duration {
	w, ok := e.works[work]
	switch {
	case !ok || w.runs == 0:
		return declared
	case declared <= 0:
		return seconds(math.Exp(w.logRun))
	}
	n := float64(w.runs)
	return seconds(math.Exp((math.Log(declared.Seconds()) + n*w.logRun) / (n + 1)))
}

// Usage returns the recent peak usage of a task, or what it reserves if nothing has been reported.
func (e *Estimates) Usage(work string, reserved fleet.Resources) fleet.Resources {
	w, ok := e.works[work]
	if !ok || w.usageAt.IsZero() {
		return reserved
	}
	used := reserved
	used.CPUMilli, used.MemoryMiB = w.usage.CPUMilli, w.usage.MemoryMiB
	return used
}

// Used takes a usage report of one task into account. Reports lag and may come out of order: an older one
// only raises the peak.
func (e *Estimates) Used(work string, used fleet.Resources, taken, now time.Time) {
	w := e.work(work, now)
	keep := decline
	if taken.Before(w.usageAt) {
		keep = 1
	} else {
		w.usageAt = taken
	}
	w.usage.CPUMilli = peak(w.usage.CPUMilli, used.CPUMilli, keep)
	w.usage.MemoryMiB = peak(w.usage.MemoryMiB, used.MemoryMiB, keep)
}

func (e *Estimates) work(name string, now time.Time) *estimate {
	w, ok := e.works[name]
	if !ok {
		if len(e.works) >= maxEstimate {
			e.dropOldest()
		}
		w = &estimate{}
		e.works[name] = w
	}
	w.seen = now
	return w
}

func (e *Estimates) dropOldest() {
	oldest := ""
	for name, w := range e.works {
		if oldest == "" || w.seen.Before(e.works[oldest].seen) {
			oldest = name
		}
	}
	delete(e.works, oldest)
}

func peak(known, used int64, keep float64) int64 {
	if used >= known {
		return used
	}
	return used + int64(float64(known-used)*keep)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
