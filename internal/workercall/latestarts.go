package workercall

import (
	"slices"
	"time"
)

// LateStart is a start of a run that has ended or is not on its worker, which a later lifetime of the worker may still carry out.
type LateStart struct {
	// IsSingle is set if the run is on its worker and no other start of it was sent.
	IsSingle bool
	// IsUnbegun is set if the run has begun in no lifetime of the worker, so that its number can be sent to the worker again: carried out
	// twice, it is one run.
	IsUnbegun bool
	Run       int
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

// AreUnbegun reports whether all late starts are of one run that has not begun.
func (l LateStarts) AreUnbegun(run int) bool {
	return len(l) > 0 && !slices.ContainsFunc(l, func(s LateStart) bool { return !s.IsUnbegun || s.Run != run })
}

// WithBegun returns the list once a run may have begun.
func (l LateStarts) WithBegun() LateStarts {
	if !slices.ContainsFunc(l, func(s LateStart) bool { return s.IsUnbegun }) {
		return l
	}
	out := slices.Clone(l)
	for i := range out {
		out[i].IsUnbegun = false
	}
	return out
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
