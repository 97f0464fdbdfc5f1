package interference

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxLines is the number of lines about situations that an owner logs per lineInterval.
	maxLines     = 10
	lineInterval = time.Second
)

// Observer counts and logs the time that serving tasks are above their targets. The zero value only logs.
type Observer struct {
	// Observe is called with the time of each serving task above its target, unless it is nil.
	Observe func(State, time.Duration)

	began          time.Time
	lines, skipped int
}

// Report takes the serving tasks of one worker that are above their targets, and returns whether it has logged the worst of them.
// lastLine is when the last line about the worker was logged.
func (o *Observer) Report(now time.Time, log *logrus.Entry, lastLine time.Time, situations []Situation) bool {
	var worst Situation
	for _, s := range situations {
		if o.Observe != nil {
			o.Observe(s.State(), s.For)
		}
		if s.Tail > worst.Tail {
			worst = s
		}
	}
	if worst.Tail == 0 || !o.allowLine(now, lastLine) {
		return false
	}
	log.WithFields(worst.LogFields()).WithField("skipped", o.skipped).
		Info("serving task beside best-effort tasks is above its latency target")
	o.skipped = 0
	return true
}

// allowLine reports whether a line may be logged now, and counts those that may not because of other workers.
func (o *Observer) allowLine(now, lastLine time.Time) bool {
	if now.Sub(lastLine) < lineInterval {
		return false
	}
	if now.Sub(o.began) >= lineInterval {
		o.began, o.lines = now, 0
	}
	if o.lines >= maxLines {
		o.skipped++
		return false
	}
	o.lines++
	return true
}
