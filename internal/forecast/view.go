package forecast

import (
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Work is an amount of CPU time, in core milliseconds, by the kind of tasks: those that reserve CPU, and best-effort tasks.
type Work struct {
	BestEffort int64 `json:"best_effort,omitempty"`
	Reserving  int64 `json:"reserving,omitempty"`
}

// Plus returns the sum of two amounts.
func (w Work) Plus(other Work) Work {
	return Work{w.BestEffort + other.BestEffort, w.Reserving + other.Reserving}
}

// Total returns the sum of both kinds.
func (w Work) Total() int64 { return w.BestEffort + w.Reserving }

// WorkOf returns the work of a number of tasks of a step.
func WorkOf(s *workflow.Step, tasks int, expected time.Duration, f Fit) Work {
	n := int64(tasks) * s.Resources.CPUMilli * expected.Milliseconds() / 1000
	if s.BestEffort {
		return Work{BestEffort: int64(float64(n) * f.cpuShare())}
	}
	return Work{Reserving: n}
}

// Backlog is the waiting work of a priority. Late is that of jobs which can't meet their objective any more,
// so that new jobs go first. That of jobs past their late limit is left out.
type Backlog struct {
	Late     Work `json:"late"`
	Priority int  `json:"priority"`
	Work     Work `json:"work"`
}

// Backlogs holds the waiting work by priority.
type Backlogs []Backlog

// With returns the backlogs with more work of a priority and rank. The receiver must not be used any more.
func (b Backlogs) With(priority int, r Rank, w Work) Backlogs {
	i := slices.IndexFunc(b, func(b Backlog) bool { return b.Priority == priority })
	if i < 0 {
		i, b = len(b), append(b, Backlog{Priority: priority})
	}
	switch r {
	case RankOverdue: // goes after all jobs that are still of use
	case RankLate:
		b[i].Late = b[i].Late.Plus(w)
	case RankLongRunning, RankStarted, RankInTime:
		b[i].Work = b[i].Work.Plus(w)
	}
	return b
}

// ClassFit is the regression of a class of tasks.
type ClassFit struct {
	Class Class `json:"class"`
	Fit   Fit   `json:"fit"`
}

// View is what the owner of a shard reports of one service for forecasts. It is not changed after it was made.
type View struct {
	// Backlogs holds the waiting work by priority, that of each priority by itself.
	Backlogs Backlogs `json:"backlogs,omitempty"`
	// BestEffortCPU is the CPU that other tasks leave to best-effort tasks, ReservingCPU what long-running tasks leave to tasks that reserve
	// CPU, in thousandths of a core.
	BestEffortCPU int64      `json:"best_effort_cpu"`
	ReservingCPU  int64      `json:"reserving_cpu"`
	Errors        Errors     `json:"errors"`
	Fits          []ClassFit `json:"fits,omitempty"`
}

// Ahead returns the waiting work that goes before a new job of a priority while the job can still meet its objective, and the late work
// that goes before it once it can't.
func (v View) Ahead(priority int) (ahead, late Work) {
	for _, b := range v.Backlogs {
		switch {
		case b.Priority < priority:
			ahead = ahead.Plus(b.Work).Plus(b.Late)
		case b.Priority == priority:
			ahead, late = ahead.Plus(b.Work), b.Late
		}
	}
	return ahead, late
}

// Fit returns the regression of a class of tasks.
func (v View) Fit(c Class) Fit {
	i := slices.IndexFunc(v.Fits, func(f ClassFit) bool { return f.Class == c })
	if i < 0 {
		return Fit{}
	}
	return v.Fits[i].Fit
}

// Waits returns how long the waiting work takes, of the kind which takes longer: that of jobs which can meet their
// objective, and that of the late ones.
func (v View) Waits() (inTime, late time.Duration) {
	var sum Backlog
	for _, b := range v.Backlogs {
		sum.Work, sum.Late = sum.Work.Plus(b.Work), sum.Late.Plus(b.Late)
	}
	return max(v.timeFor(sum.Work, true), v.timeFor(sum.Work, false)), max(v.timeFor(sum.Late, true), v.timeFor(sum.Late, false))
}

// timeFor returns how long some work takes with the CPU that its kind has. Without any CPU it is maxForecast.
func (v View) timeFor(work Work, bestEffort bool) time.Duration {
	n, cpu := work.Reserving, v.ReservingCPU
	if bestEffort {
		n, cpu = work.BestEffort, v.BestEffortCPU
	}
	switch {
	case n <= 0:
		return 0
	case cpu <= 0:
		return maxForecast
	}
	return min(time.Duration(float64(n)/float64(cpu)*float64(time.Second)), maxForecast)
}

// maxForecast bounds a forecast. The backlog of an hour is not worked off in an order that is known now.
const maxForecast = time.Hour
