package shard

// Summary counts the tasks, runs and workers of a shard at one moment.
type Summary struct {
	// FillPace is the mean pace of the best-effort tasks, in percent.
	FillPace int
	Fills    int
	Jobs     int
	// Over is the number of serving tasks above their latency target at the last poll.
	Over    int
	Runs    int
	Serving int
	Stopped int
	// Waiting is the number of tasks that are ready but not assigned to a worker. The best-effort tasks among them are
	// also counted by themselves.
	Waiting      int
	WaitingFills int
	Workers      int
}

// Summary returns the current counts.
func (o *Owner) Summary() Summary {
	s := Summary{Jobs: len(o.jobs)}
	paces := 0
	for _, w := range o.sortedWorkers() {
		if w.registered {
			s.Workers++
		}
		for _, at := range w.attempts {
			s.Runs++
			switch {
			case at.phase == phaseStopping || at.phase == phaseStopped:
				s.Stopped++
			case at.task.step.Fills:
				s.Fills++
				paces += max(at.pace, 0)
			case at.isServing():
				s.Serving++
				if tailRatio(at) > targetTail {
					s.Over++
				}
			}
		}
	}
	s.FillPace = paces / max(s.Fills, 1)
	for _, j := range o.jobs {
		if j.final != "" {
			continue
		}
		for _, occ := range j.openOccurrences() {
			for i, tasks := range occ.tasks {
				for _, t := range tasks {
					if occ.ready[i] && t.isWaiting() {
						s.Waiting++
						if t.step.Fills {
							s.WaitingFills++
						}
					}
				}
			}
		}
	}
	return s
}
