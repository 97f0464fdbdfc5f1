package entry

import (
	"context"
	"runtime/debug"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// errPanic is matched by the errors that take the place of a panic.
var errPanic = eris.New("internal error")

// logPanic logs and counts a recovered panic.
func logPanic(log *logrus.Entry, in string, v any) {
	panics.Add(in, 1)
	log.WithFields(logrus.Fields{"decision": "panic_recovered", "in": in, "panic": v, "stack": string(debug.Stack())}).
		Error("recovered from a panic")
}

// safeDecoder returns a decoder that returns an error where decode panics, so that one malformed entry is skipped like others.
func safeDecoder[E, V any](log *logrus.Entry, in string, decode func(E) (V, error)) func(E) (V, error) {
	return func(encoded E) (v V, err error) {
		defer func() {
			if p := recover(); p != nil {
				logPanic(log, in, p)
				err = eris.Wrapf(errPanic, "%s: %v", in, p)
			}
		}()
		return decode(encoded)
	}
}

// run runs a task of the runner in the background.
func (r *runner) run(task func()) {
	go func() {
		defer r.giveUpOnPanic()
		task()
	}()
}

// locked runs f with the owner locked. After a panic, the state of the owner is not to be trusted, and the shard is given up.
func (r *runner) locked(f func()) {
	defer r.giveUpOnPanic()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() == nil {
		f()
	}
}

// giveUpOnPanic recovers from a panic and gives the shard up, so that its next owner reads its records anew. The process, its lease and
// its other shards go on. It must be deferred.
func (r *runner) giveUpOnPanic() {
	v := recover()
	if v == nil {
		return
	}
	logPanic(r.log, "shard", v)
	r.cancel()
	go r.host.ownedShards.abandon(r)
}

// abandon stops the runner of a shard at once and deletes the owner key. Unlike giveUp it does not wait for a commit in flight: the
// next owner learns of unrecorded changes from the workers. The deletion has no deadline of its own: if it is not carried out in time, the
// host takes the shard back with a new runner or ends its lease, and would otherwise keep a key for which it does not act.
func (o *ownedShards) abandon(r *runner) {
	if !o.stopRunner(r, "internal error") {
		return
	}
	revision := r.ownerRevision()
	o.handovers.recordGivenUp(r.shard, revision)
	o.deleteOwnerKey(context.Background(), r, r.log, o.panicPuts(r)...)
}
