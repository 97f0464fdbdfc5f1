package retrylimit

import "strconv"

// Event is what an owner counts of failed runs and of the tasks that had them.
type Event string

// Events of failed runs, and of tasks that a guest returns.
const (
	// EndCounted is a failed end of a run that was open.
	EndCounted Event = "end_counted"
	// EndCountedLate is a failed end of a run that counted as ended before, but not as failed.
	EndCountedLate Event = "end_counted_late"
	// EndNotCounted is a failed end of a run that counted as ended before.
	EndNotCounted Event = "end_not_counted"
	// ReturnIgnored is a returned task that its home did not take back.
	ReturnIgnored Event = "return_ignored"
	// ReturnSent is a task that a guest returns.
	ReturnSent Event = "return_sent"
	// ReturnTaken is a returned task that its home took back.
	ReturnTaken Event = "return_taken"
	// RunRefused is a run that is not planned because its task has reached the limit.
	RunRefused Event = "run_refused"
	// StartBeyondLimit is a start of a task whose failed runs have reached the limit.
	StartBeyondLimit Event = "start_beyond_limit"
)

// maxNamedFailures is the number of failed runs up to which starts are counted apart.
const maxNamedFailures = 9

// StartEvent returns the event of a start of a task that has had a number of failed runs.
func StartEvent(failures int) Event {
	if failures > maxNamedFailures {
		return Event("start_after_more_than_" + strconv.Itoa(maxNamedFailures))
	}
	return Event("start_after_" + strconv.Itoa(failures))
}
