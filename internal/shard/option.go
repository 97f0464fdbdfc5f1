package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Option configures an Owner.
type Option func(*Owner)

// WithLog sets the logger for decisions.
func WithLog(log *logrus.Entry) Option { return func(o *Owner) { o.log = log } }

// WithShard sets the number of the shard.
func WithShard(n int) Option { return func(o *Owner) { o.shard = n } }

// WithStartObserver sets a function that receives the time from the choice of a worker for a task to the confirmed start.
func WithStartObserver(observe func(time.Duration)) Option {
	return func(o *Owner) { o.observeStart = observe }
}

// WithTiming replaces the default timing.
func WithTiming(t Timing) Option { return func(o *Owner) { o.timing = t } }

// WithWallClock sets the time-of-day clock that decides when occurrences are due.
func WithWallClock(wallClock func() time.Time) Option {
	return func(o *Owner) { o.wallClock = wallClock }
}
