package retrylimit

import (
	"cmp"
	"slices"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// maxRuns is the number of failed runs of a task that are known by worker, lifetime and run.
const maxRuns = 8

// Failures are the failed runs of a task, as far as an owner knows. Owners that learn of different runs can merge what they know: no run
// counts twice, and the number never falls.
type Failures struct {
	count int
	// runs holds the last failed runs in the order of their numbers. Of others only the number is known.
	runs []workflow.Attempt
}

// NewFailures returns a number of failed runs, of which some are known.
func NewFailures(count int, runs ...workflow.Attempt) Failures {
	return Failures{}.with(count, runs)
}

// Count returns the number of failed runs.
func (f Failures) Count() int { return f.count }

// Runs returns the failed runs that are known.
func (f Failures) Runs() []workflow.Attempt { return slices.Clone(f.runs) }

// WithRun returns the failures with that of a run which was open, so that it has not been counted before.
func (f Failures) WithRun(run workflow.Attempt) Failures {
	if slices.Contains(f.runs, run) {
		return f
	}
	return f.with(f.count+1, []workflow.Attempt{run})
}

// WithListedRun returns the failures with that of a run which counted as ended before, and reports whether it adds to the number. A run that is
// not known may be one of those of which only the number is.
func (f Failures) WithListedRun(run workflow.Attempt) (Failures, bool) {
	if slices.Contains(f.runs, run) {
		return f, false
	}
	isNew := f.count == len(f.runs)
	if isNew {
		return f.WithRun(run), true
	}
	return f.with(f.count, []workflow.Attempt{run}), false
}

// Merge returns what two owners know together.
func (f Failures) Merge(other Failures) Failures {
	return f.with(max(f.count, other.count), other.runs)
}

// Equal reports whether both are the same runs.
func (f Failures) Equal(other Failures) bool {
	return f.count == other.count && slices.Equal(f.runs, other.runs)
}

// with returns at least count failures, with further known runs.
func (f Failures) with(count int, runs []workflow.Attempt) Failures {
	all := slices.Concat(f.runs, runs)
	slices.SortFunc(all, func(a, b workflow.Attempt) int {
		return cmp.Or(cmp.Compare(a.Run, b.Run), cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Born, b.Born))
	})
	all = slices.Compact(all)
	return Failures{count: max(f.count, count, len(all)), runs: all[max(len(all)-maxRuns, 0):]}
}
