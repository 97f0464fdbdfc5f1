package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

// containedPause is how long a decision that panicked is left out, so that a cause that lasts does not take the time of each round.
const containedPause = time.Second

// contained runs decisions without which an owner still does all that it has to: it places tasks elsewhere, or later. A panic in one of them must not
// cost the shard its owner, as one in any other code does.
type contained struct {
	// observe is called with the decision that panicked, and the panic.
	observe func(decision string, panicked any)
	// pausedUntil holds until when decisions are left out.
	pausedUntil map[string]time.Time
}

// WithPanicObserver sets a function that is called with each decision that panicked and was left out, and the panic.
func WithPanicObserver(observe func(decision string, panicked any)) Option {
	return func(o *Owner) { o.contained.observe = observe }
}

func newContained() contained {
	return contained{observe: func(string, any) {}, pausedUntil: map[string]time.Time{}}
}

// isPaused reports whether a decision is left out because it panicked a moment before.
func (c *contained) isPaused(now time.Time, decision string) bool {
	return now.Before(c.pausedUntil[decision])
}

// contain makes a decision, unless it panicked a moment before.
func (o *Owner) contain(now time.Time, decision string, decide func()) {
	if o.contained.isPaused(now, decision) {
		return
	}
	defer func() {
		if v := recover(); v != nil {
			o.contained.pausedUntil[decision] = now.Add(containedPause)
			o.contained.observe(decision, v)
			o.log.WithFields(logrus.Fields{"decision": "contain_panic", "in": decision, "panic": v, "pause": containedPause.String()}).
				Error("a decision panicked; going on without it for a while")
		}
	}()
	decide()
}
