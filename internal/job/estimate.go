package job

import (
	"math"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

const (
	// excessRetained is the fraction of the difference between the recorded peak and a lower reported usage that is kept:
	// the peak falls to the reported usage plus this fraction of the difference.
	excessRetained = 0.95
	maxEstimates   = 2048
	// minNewestWeight is the minimum weight of the newest run time, which lets estimates follow changes of the workload.
	minNewestWeight = 0.1
)

// Estimates learns the run time and the resource usage of each workload. The estimates only influence which placement
// is preferred; tasks reserve their declared resources.
type Estimates struct {
	byWorkload map[string]*estimate
}

type estimate struct {
	// meanLogRunTime is the mean of the logarithm of the run time in seconds. The logarithm is used because errors of
	// run time estimates are multiplicative.
	meanLogRunTime float64
	runs           int
	lastRecorded   time.Time
	usage          fleet.Resources
	// usageAt is when the newest usage report was measured.
	usageAt time.Time
}

// NewEstimates returns empty Estimates.
func NewEstimates() *Estimates { return &Estimates{byWorkload: map[string]*estimate{}} }

// RecordRunTime adds the run time of a task that succeeded.
func (e *Estimates) RecordRunTime(work string, ranFor time.Duration, now time.Time) {
	if ranFor <= 0 {
		return
	}
	w := e.estimateOf(work, now)
	w.runs++
	w.meanLogRunTime += (math.Log(ranFor.Seconds()) - w.meanLogRunTime) * max(minNewestWeight, 1/float64(w.runs))
}

// RunTime returns the expected run time of a task: the geometric mean of the recorded run times and the declared one,
// which counts as one run. If declared is 0, only recorded run times count; without any, RunTime returns declared.
func (e *Estimates) RunTime(work string, declared time.Duration) time.Duration {
	w, ok := e.byWorkload[work]
	switch {
	case !ok || w.runs == 0:
		return declared
	case declared <= 0:
		return seconds(math.Exp(w.meanLogRunTime))
	}
	n := float64(w.runs)
	return seconds(math.Exp((math.Log(declared.Seconds()) + n*w.meanLogRunTime) / (n + 1)))
}

// Usage returns the reservation of a task with its processors and memory replaced by the recent peak usage, if any usage
// was reported.
func (e *Estimates) Usage(work string, reserved fleet.Resources) fleet.Resources {
	w, ok := e.byWorkload[work]
	if !ok || w.usageAt.IsZero() {
		return reserved
	}
	used := reserved
	used.CPUMilli, used.MemoryMiB = w.usage.CPUMilli, w.usage.MemoryMiB
	return used
}

// RecordUsage adds the usage of one task. Reports lag and may arrive out of order; one that is older than the newest
// may raise the peak but does not lower it.
func (e *Estimates) RecordUsage(work string, used fleet.Resources, measuredAt, now time.Time) {
	w := e.estimateOf(work, now)
	retained := excessRetained
	if measuredAt.Before(w.usageAt) {
		retained = 1
	} else {
		w.usageAt = measuredAt
	}
	w.usage.CPUMilli = decayedPeak(w.usage.CPUMilli, used.CPUMilli, retained)
	w.usage.MemoryMiB = decayedPeak(w.usage.MemoryMiB, used.MemoryMiB, retained)
}

func (e *Estimates) estimateOf(name string, now time.Time) *estimate {
	w, ok := e.byWorkload[name]
	if !ok {
		if len(e.byWorkload) >= maxEstimates {
			e.evictLeastRecentlyRecorded()
		}
		w = &estimate{}
		e.byWorkload[name] = w
	}
	w.lastRecorded = now
	return w
}

func (e *Estimates) evictLeastRecentlyRecorded() {
	oldest := ""
	for name, w := range e.byWorkload {
		if oldest == "" || w.lastRecorded.Before(e.byWorkload[oldest].lastRecorded) {
			oldest = name
		}
	}
	delete(e.byWorkload, oldest)
}

// decayedPeak returns used if it is a new peak. Otherwise the peak falls towards used, and keeps the fraction retained of
// the difference.
func decayedPeak(previous, used int64, retained float64) int64 {
	if used >= previous {
		return used
	}
	return used + int64(float64(previous-used)*retained)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
