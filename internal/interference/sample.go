package interference

import "time"

// Level is the load of a backend server in quarters of its capacity, from 0 to 3.
type Level int

const levels = 4

// defaultLevel is assumed for a backend server whose load is not known yet.
const defaultLevel Level = 1

// LevelOf returns the level of a load from 0 to 1.
func LevelOf(load float64) Level {
	return Level(min(max(int(load*levels), 0), levels-1))
}

// Sample is the latency of a backend server over a short window.
type Sample struct {
	Latency time.Duration
	// Load is the used fraction of the backend server's slots or connections.
	Load    float64
	Service string
	// Taken is the end of the window.
	Taken time.Time
	// Target is the latency that the service should keep; zero means none.
	Target time.Duration
	// Window is zero for a sample at one instant.
	Window time.Duration
	Worker string
}

func (s Sample) began() time.Time { return s.Taken.Add(-s.Window) }

// Status says how a sample was used.
type Status string

// Statuses of samples.
const (
	// StatusBaseline is a sample without batch neighbours.
	StatusBaseline Status = "baseline"
	// StatusLearned is a sample whose slowdown was attributed to batch works.
	StatusLearned Status = "learned"
	// StatusMalformed is a sample without a positive latency.
	StatusMalformed Status = "malformed"
	// StatusNoBaseline is a sample of a service whose own latency at this load is not known.
	StatusNoBaseline Status = "no_baseline"
	// StatusNoModel is a sample that the baseline policy ignores.
	StatusNoModel Status = "no_model"
	// StatusStraddles is a sample in whose window the tasks of the worker changed.
	StatusStraddles Status = "straddles_a_change"
	// StatusThrottled is a sample beside throttled batch tasks, from which no pair is learned.
	StatusThrottled Status = "throttled"
	// StatusUnmatched is a sample from before the history of the worker.
	StatusUnmatched Status = "unmatched"
)

// Observation is a sample matched to the tasks that were in force when it was taken.
type Observation struct {
	// Batch lists the batch works that ran beside the service.
	Batch []Count
	// Began and Taken bound the window of the sample.
	Began time.Time
	// OfTarget is the latency as a part of the service's target, or 0 without a target.
	OfTarget float64
	Service  string
	// Slowdown is the latency divided by that without batch neighbours, or 0 if that is not known.
	Slowdown float64
	Status   Status
	Taken    time.Time
	Worker   string
	// Worst is the batch work that contributes most, and WorstTasks the number of its tasks.
	Worst      string
	WorstTasks int
}

func (s Sample) ofTarget() float64 {
	if s.Target <= 0 {
		return 0
	}
	return s.Latency.Seconds() / s.Target.Seconds()
}
