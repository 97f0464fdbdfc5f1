package workercall

import (
	"slices"
	"time"
)

// LateStart is a start of a run that has ended or is not on its worker, which a later lifetime of the worker may still carry out.
type LateStart struct {
	Run int
	// Until is the time until which the start may be carried out.
	Until  time.Time
	Worker string
}

// LateStarts is an immutable list of the late starts of a task.
type LateStarts []LateStart

// With returns the list with one more late start.
func (l LateStarts) With(s LateStart) LateStarts { return append(slices.Clip(l), s) }

// Without returns the list without the starts that are over.
func (l LateStarts) Without(isOver func(LateStart) bool) LateStarts {
	if !slices.ContainsFunc(l, isOver) {
		return l
	}
	return slices.DeleteFunc(slices.Clone(l), isOver)
}

// Until returns the time from which none of the starts can be carried out; it is the zero time for an empty list.
func (l LateStarts) Until() time.Time {
	var until time.Time
	for _, s := range l {
		if s.Until.After(until) {
			until = s.Until
		}
	}
	return until
}

// Worker returns the only worker that may carry out the starts; ok is false if there are several, or none.
func (l LateStarts) Worker() (worker string, ok bool) {
	for i, s := range l {
		if i > 0 && s.Worker != worker {
			return "", false
		}
		worker = s.Worker
	}
	return worker, len(l) > 0
}
