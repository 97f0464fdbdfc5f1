package shard

import "time"

// Summary counts the tasks, runs and workers of a shard at one moment.
type Summary struct {
	// BestEffortPace is the mean pace of the best-effort tasks, in percent.
	BestEffortPace int
	BestEffort     int
	// EvacuatedRuns is the number of runs that may still be on the workers of each evacuated zone. It has all zones of such workers.
	EvacuatedRuns map[string]int
	// ForecastBias and ForecastError are the mean error of the forecasts of the ends of jobs and its mean deviation, in percent.
	ForecastBias, ForecastError int
	// ForecastWait is how long the waiting work takes of jobs that have started or can meet their objective, LateWait that of all others.
	ForecastWait, LateWait time.Duration
	// HeadroomAvailable is the CPU that short tasks can use, and HeadroomTarget the part of it that is kept free of long-running
	// tasks which have never run, in thousandths of a core. They are 0 if the last placement round needed no headroom. With several
	// services or priorities, those of the smallest remainder are given.
	HeadroomAvailable, HeadroomTarget int64
	Jobs                              int
	// OldestUncommitted and OldestUnstarted are the ages of the oldest change that is not recorded yet, and of the oldest
	// planned attempt whose start the worker has not confirmed.
	OldestUncommitted time.Duration
	OldestUnstarted   time.Duration
	// OverTarget is the number of serving tasks above their latency target at the last poll.
	OverTarget int
	Runs       int
	Serving    int
	// SilentRuns is the number of runs on record on workers that have not answered the last poll of this owner, or none yet.
	SilentRuns int
	Stopping   int
	// Uncommitted is the number of jobs with changes that are not recorded yet.
	Uncommitted int
	// Unstarted is the number of planned attempts whose start the worker has not confirmed.
	Unstarted int
	// Waiting is the number of tasks that are ready but not assigned to a worker. The best-effort tasks among them are
	// also counted by themselves.
	Waiting           int
	WaitingBestEffort int
	// WaitingEvacuated counts the waiting tasks that only workers in evacuated zones suit.
	WaitingEvacuated int
	// WaitingBesideRoom is the number of tasks that have waited for longer than the longest lease while several workers that suit them have
	// room, as far as ReportWaits has seen.
	WaitingBesideRoom int
	// WaitingLongRunning counts the long-running tasks among the waiting ones.
	WaitingLongRunning int
	Workers            int
}

// Summary returns the counts and ages at now.
func (o *Owner) Summary(now time.Time) Summary {
	s := Summary{EvacuatedRuns: o.evacuatedRuns(), Jobs: len(o.jobs)}
	s.ForecastBias, s.ForecastError = o.learned.Errors().Percent()
	for service := range o.waiting {
		inTime, late := o.forecastView(service).Waits()
		s.ForecastWait, s.LateWait = max(s.ForecastWait, inTime), max(s.LateWait, late)
	}
	zoneWaits := map[Demand]bool{}
	var oldest time.Time
	s.Uncommitted, oldest = o.uncommitted(now)
	s.OldestUncommitted = now.Sub(oldest)
	paces := 0
	for _, w := range o.sortedWorkers() {
		if w.registered {
			s.Workers++
		}
		if w.isSilent() {
			s.SilentRuns += len(w.sentAttempts())
		}
		for _, at := range w.attempts {
			s.Runs++
			if at.isUnstarted() {
				s.Unstarted++
				s.OldestUnstarted = max(s.OldestUnstarted, now.Sub(at.plannedAt))
			}
			switch {
			case at.phase == phaseStopping || at.phase == phaseStopped:
				s.Stopping++
			case at.task.step.BestEffort:
				s.BestEffort++
				paces += max(at.pace, 0)
			case at.isServing():
				s.Serving++
				if tailRatio(at) > targetTail {
					s.OverTarget++
				}
			}
		}
	}
	s.BestEffortPace = paces / max(s.BestEffort, 1)
	for _, j := range o.jobs {
		for _, t := range j.readyTasks() {
			if t.isWaiting() {
				s.Waiting++
				if len(s.EvacuatedRuns) > 0 && o.waitsForZone(t, zoneWaits) {
					s.WaitingEvacuated++
				}
				switch {
				case t.step.BestEffort:
					s.WaitingBestEffort++
				case t.step.LongRunning:
					s.WaitingLongRunning++
				}
			}
		}
	}
	s.WaitingBesideRoom = o.waitingBesideRoom(now)
	isFirst := true
	for _, h := range o.headrooms {
		if h != nil && (isFirst || h.available-h.target < s.HeadroomAvailable-s.HeadroomTarget) {
			s.HeadroomAvailable, s.HeadroomTarget, isFirst = h.available, h.target, false
		}
	}
	return s
}
