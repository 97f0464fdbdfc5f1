package workercall

import "time"

// Kind is the kind of a call to a worker, as it appears in logs.
type Kind string

// Kinds of calls.
const (
	KindPoll  Kind = "poll"
	KindStart Kind = "start"
	KindStop  Kind = "stop"
)

// Call is an immutable description of a call that was sent to a worker.
type Call struct {
	// Born is the lifetime that the call was meant for, as its start time in Unix milliseconds.
	Born int64
	Kind Kind
	// Until is the lease end in the call, in milliseconds on the clock of that lifetime; 0 if it has none.
	Until  int64
	sentAt time.Time
}

// WithSending returns the call as sent at a time.
func (c Call) WithSending(now time.Time) Call {
	c.sentAt = now
	return c
}

// Age returns how long ago the call was sent; ok is false if none was.
func (c Call) Age(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(c.sentAt), !c.sentAt.IsZero()
}
