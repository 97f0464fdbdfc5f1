package interference

import "time"

// Level is the load level of a backend server in quarters of its capacity, from 0 to 3.
type Level int

const levels = 4

// defaultLevel is assumed for a backend server whose load is unknown.
const defaultLevel Level = 1

// LevelOf returns the level of a load between 0 and 1.
func LevelOf(load float64) Level {
	return Level(min(max(int(load*levels), 0), levels-1))
}

// Sample is the latency of a backend server over a short window.
type Sample struct {
	Latency time.Duration
	// Load is the fraction of the backend server's slots or connections that is in use.
	Load    float64
	Service string
	// Taken is the end of the window.
	Taken time.Time
	// Target is the latency target of the service; zero means none.
	Target time.Duration
	// Window is the time that the sample covers; zero for a sample at one instant.
	Window time.Duration
	Worker string
}

func (s Sample) windowStart() time.Time { return s.Taken.Add(-s.Window) }

// Status is the result of processing a sample.
type Status string

const (
	// StatusBaseline means that there were no batch neighbours, so the sample updated the baseline.
	StatusBaseline Status = "baseline"
	// StatusLearned means that the slowdown was attributed to batch works.
	StatusLearned Status = "learned"
	// StatusMalformed means that the latency was not positive.
	StatusMalformed Status = "malformed"
	// StatusNoBaseline means that the latency of the service without batch neighbours is unknown at this load level.
	StatusNoBaseline Status = "no_baseline"
	// StatusNoModel means that the policy is PolicyNone.
	StatusNoModel Status = "no_model"
	// StatusTasksChanged means that the tasks of the worker changed during the window of the sample.
	StatusTasksChanged Status = "straddles_a_change"
	// StatusThrottled means that the batch tasks were throttled, so the sample updated no slowdown estimate.
	StatusThrottled Status = "throttled"
	// StatusUnmatched means that the worker is unknown or that the sample is older than its history.
	StatusUnmatched Status = "unmatched"
)

// Observation is a sample together with the batch tasks that ran when it was taken.
type Observation struct {
	// Batch lists the batch works that ran on the same worker.
	Batch []TaskCount
	// WindowStart and Taken bound the window of the sample.
	WindowStart time.Time
	// TargetRatio is the ratio of the latency to the target of the service, or 0 without a target.
	TargetRatio float64
	Service     string
	// Slowdown is the ratio of the latency to that without batch neighbours, or 0 if the latter is unknown.
	Slowdown float64
	Status   Status
	Taken    time.Time
	Worker   string
	// WorstWork is the batch work that contributes most to the slowdown, and WorstTasks the number of its tasks.
	WorstWork  string
	WorstTasks int
}

func (s Sample) targetRatio() float64 {
	if s.Target <= 0 {
		return 0
	}
	return s.Latency.Seconds() / s.Target.Seconds()
}
