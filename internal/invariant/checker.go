package invariant

import (
	"expvar"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Names of the invariants in expvar and in the log.
const (
	AnswerToOwnCaller = "answer_to_own_caller"
	AtMostOnce        = "at_most_once"
	Capacity          = "capacity"
	GracefulStop      = "graceful_stop"
	LeavingNoWork     = "leaving_no_work"
	NoteInForce       = "note_in_force"
	ResumeOnce        = "resume_once"
	SingleRun         = "single_run"
)

var (
	checks     = expvar.NewMap("invariant_checks")
	violations = expvar.NewMap("invariant_violations")
)

// Checker counts the checks and violations of one host, and adds them to the totals of the process in expvar.
type Checker struct {
	checked     atomic.Int64
	log         *logrus.Entry
	onViolation func(name, detail string)
	violated    atomic.Int64
}

// Option sets a property of a Checker.
type Option func(*Checker)

// New returns a checker that logs violations.
func New(log *logrus.Entry, opts ...Option) *Checker {
	c := &Checker{log: log, onViolation: func(string, string) {}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// WithViolationHandler sets a function that is called at each violation. Tests use it to fail at once.
func WithViolationHandler(f func(name, detail string)) Option {
	return func(c *Checker) { c.onViolation = f }
}

// Check counts a check of the named invariant, and reports a violation if ok is false.
func (c *Checker) Check(name string, ok bool, detail string) {
	c.checked.Add(1)
	checks.Add(name, 1)
	if !ok {
		c.ReportViolation(name, detail)
	}
}

// Checked returns the number of checks.
func (c *Checker) Checked() int64 { return c.checked.Load() }

// ReportViolation counts and logs a violation. Callers that detect a violation without calling Check use it directly.
func (c *Checker) ReportViolation(name, detail string) {
	c.violated.Add(1)
	violations.Add(name, 1)
	c.log.WithFields(logrus.Fields{"invariant": name, "detail": detail}).Error("invariant violated")
	c.onViolation(name, detail)
}

// Violations returns the number of violations.
func (c *Checker) Violations() int64 { return c.violated.Load() }
