package job

import (
	"math"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

const (
	// excessRetained is the part of a peak's excess over the current usage that is kept at each report.
	excessRetained = 0.95
	maxEstimates   = 2048
	// minNewestWeight is the minimum weight of the newest run time, which lets estimates follow changes of the work.
	minNewestWeight = 0.1
)

// Estimates learns the run time and the resource usage of each work. The estimates only influence which placement
// is preferred; tasks reserve their declared resources.
type Estimates struct {
	works map[string]*estimate
}

type estimate struct {
	// meanLogRunTime is the mean of the logarithm of the run time in seconds. The logarithm is used because run times
	// differ from their estimates by factors.
	meanLogRunTime float64
	runs           int
	lastUsed       time.Time
	usage          fleet.Resources
	// usageAt is when the newest usage report was measured.
	usageAt time.Time
}

// NewEstimates returns empty Estimates.
func NewEstimates() *Estimates { return &Estimates{works: map[string]*estimate{}} }

// RecordRunTime adds the run time of a task that succeeded.
func (e *Estimates) RecordRunTime(work string, ranFor time.Duration, now time.Time) {
	if ranFor <= 0 {
		return
	}
	w := e.estimateOf(work, now)
	w.runs++
	w.meanLogRunTime += (math.Log(ranFor.Seconds()) - w.meanLogRunTime) * max(minNewestWeight, 1/float64(w.runs))
}

// RunTime returns the expected run time of a task. The declared run time counts as one run; 0 means that none is
// declared.
func (e *Estimates) RunTime(work string, declared time.Duration) time.Duration {
	w, ok := e.works[work]
	switch {
	case !ok || w.runs == 0:
		return declared
	case declared <= 0:
		return seconds(math.Exp(w.meanLogRunTime))
	}
	n := float64(w.runs)
	return seconds(math.Exp((math.Log(declared.Seconds()) + n*w.meanLogRunTime) / (n + 1)))
}

// Usage returns the recent peak usage of processors and memory of a task, or its reservation if none was reported.
func (e *Estimates) Usage(work string, reserved fleet.Resources) fleet.Resources {
	w, ok := e.works[work]
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
	w, ok := e.works[name]
	if !ok {
		if len(e.works) >= maxEstimates {
			e.evictOldest()
		}
		w = &estimate{}
		e.works[name] = w
	}
	w.lastUsed = now
	return w
}

func (e *Estimates) evictOldest() {
	oldest := ""
	for name, w := range e.works {
		if oldest == "" || w.lastUsed.Before(e.works[oldest].lastUsed) {
			oldest = name
		}
	}
	delete(e.works, oldest)
}

// decayedPeak returns used, or the previous peak less a part of its excess over used.
func decayedPeak(previous, used int64, retained float64) int64 {
	if used >= previous {
		return used
	}
	return used + int64(float64(previous-used)*retained)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
