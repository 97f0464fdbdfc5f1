package entry_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// maxWorkerLease is the longest lease that simulated workers grant.
const maxWorkerLease = 10 * time.Second

// simulatedWorker runs tasks in virtual time. Runs end with the lease, calls with a lower token are refused, and ended runs are
// listed until they are acknowledged.
type simulatedWorker struct {
	shard.Worker
	changed chan struct{}
	// clockStart is what the worker's clock showed at the start of its lifetime, in milliseconds.
	clockStart int64
	// callDelay, if set, returns after what time a call that arrives is carried out, without a response; 0 stands for at once, with one.
	// It gets the job of a start, and "" for any other call.
	callDelay func(job string) time.Duration
	// clockRate is the speed of the worker's clock; 0 counts as 1.
	clockRate float64
	endCount  int64
	ended     []listedEnd
	// expiry ends the runs when the lease expires, also if no call arrives.
	expiry       *time.Timer
	highestEnded map[string]int
	// closesPort makes calls fail at once while the worker is down, as if nothing listened there. They get no response otherwise.
	closesPort bool
	// hasLeft is set once the worker is gone for good: it runs nothing and answers no call. isCut is set while no call reaches it and no
	// response of it arrives, areRequestsCut while no call reaches it, and isDown from a crash until the next lifetime begins.
	hasLeft, isCut, areRequestsCut, isDown bool
	// lapsedEnd is the number of the latest end before the lease last expired. Ends up to it need not count.
	lapsedEnd int64
	leaseEnd  time.Time
	// maxLease is the longest lease that the worker grants, whatever a call says.
	maxLease time.Duration
	// maxRuns is the number of runs for which the worker has room; 0 stands for no limit.
	maxRuns int
	mu      sync.Mutex
	// nextClockStart, if set, returns what the clock of the next lifetime shows at its start, given what that of the last one shows.
	nextClockStart func(clock int64) int64
	// responsesCut is closed when responses of the worker arrive again; nil while they do. Calls that reach it are carried out meanwhile.
	responsesCut chan struct{}
	// polls lists the polls that the worker accepted.
	polls []acceptedPoll
	// refused lists the orders that the worker refused because of their token.
	refused []refusedOrder
	// restarts is the number of lifetimes before the present one.
	restarts int
	runs     map[string]shard.Start
	started  time.Time
	tasks    *taskLog
	token    int64
	// isUnreachable is set while calls to the worker fail. Those that are late may still be carried out.
	isUnreachable atomic.Bool
}

// listedEnd is the end of a run, with its time and the number of starts of its task before it.
type listedEnd struct {
	shard.EndRow
	at     time.Time
	starts int
}

// acceptedPoll is a poll with the time of its arrival.
type acceptedPoll struct {
	shard.Poll
	at time.Time
}

// refusedOrder is the token of a refused order with the time of its arrival.
type refusedOrder struct {
	at    time.Time
	token int64
}

func newSimulatedWorker(id, rack string, tasks *taskLog) *simulatedWorker {
	w := &simulatedWorker{
		Worker: shard.Worker{
			Address: id, Born: time.Now().Add(-time.Hour).UnixMilli(), Capacity: fleet.Resources{CPUMilli: 8_000, MemoryMiB: 64_000}, ID: id, Rack: rack, Service: "s", Zone: "z",
		},
		changed: make(chan struct{}), highestEnded: map[string]int{}, maxLease: maxWorkerLease, runs: map[string]shard.Start{},
		started: time.Now(), tasks: tasks,
	}
	w.expiry = time.AfterFunc(retry.ShortestTimer, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expire()
	})
	return w
}

func (w *simulatedWorker) clock() int64 {
	return w.clockStart + int64(float64(time.Since(w.started).Milliseconds())*w.rate())
}

func (w *simulatedWorker) rate() float64 {
	if w.clockRate == 0 {
		return 1
	}
	return w.clockRate
}

// onHostClock returns how long a span of the worker's clock takes.
func (w *simulatedWorker) onHostClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.rate())
}

// accept checks the token of a call and renews the lease. The caller holds w.mu.
func (w *simulatedWorker) accept(token, until int64) bool {
	if token < w.token {
		w.refused = append(w.refused, refusedOrder{at: time.Now(), token: token})
		return false
	}
	w.token = token
	w.expire()
	end := w.started.Add(w.onHostClock(time.Duration(until-w.clockStart) * time.Millisecond))
	if latest := time.Now().Add(w.onHostClock(w.maxLease)); end.After(latest) {
		end = latest
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
		w.expiry.Reset(max(time.Until(end), 0) + retry.ShortestTimer)
	}
	return true
}

// expire ends all runs if the lease has expired. The caller holds w.mu.
func (w *simulatedWorker) expire() {
	if time.Now().After(w.leaseEnd) {
		for name := range w.runs {
			w.end(name, shard.EndLeaseExpired)
		}
		w.lapsedEnd = w.endCount
	}
}

func (w *simulatedWorker) start(ctx context.Context, s shard.Start) shard.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isReachable() {
		return shard.Reply{Outcome: w.unreachable()}
	}
	reply := w.executeStart(s, false)
	if !w.respond(ctx) {
		w.tasks.note(s.Key.Name(s.Job), "the response to the start of run %d on %s is lost", s.Run, w.ID)
		return shard.Reply{Outcome: shard.OutcomeUnknown}
	}
	return reply
}

// executeStart carries a start out, perhaps late. The caller holds w.mu.
func (w *simulatedWorker) executeStart(s shard.Start, isLate bool) shard.Reply {
	name := s.Key.Name(s.Job)
	switch {
	case !w.accept(s.Token, s.Until):
		return shard.Reply{Clock: w.clock(), Outcome: shard.OutcomeFenced}
	case w.runs[name].Run == s.Run:
		return shard.Reply{Clock: w.clock(), Outcome: shard.OutcomeDone}
	case s.Run <= w.highestEnded[name]:
		return shard.Reply{Clock: w.clock(), Outcome: shard.OutcomeOldRun}
	case time.Now().After(w.leaseEnd):
		return shard.Reply{Clock: w.clock(), Outcome: shard.OutcomeLeaseExpired}
	}
	w.runs[name] = s
	if free := w.free(); w.maxRuns > 0 && len(w.runs) > w.maxRuns || free.HasNegative() {
		w.tasks.noteOver(w.ID, len(w.runs))
	}
	duration, cause := w.tasks.started(w.ID, w.restarts+1, s, isLate)
	if born := w.Born; duration > 0 {
		time.AfterFunc(max(duration, retry.ShortestTimer), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.Born == born && w.runs[name].Run == s.Run && !time.Now().After(w.leaseEnd) {
				w.end(name, cause)
			}
		})
	}
	return shard.Reply{Clock: w.clock(), Outcome: shard.OutcomeDone}
}

// free returns what the present runs leave of the worker's resources. The caller holds w.mu.
func (w *simulatedWorker) free() fleet.Resources {
	free := w.Capacity
	for _, s := range w.runs {
		if step := w.tasks.step(s); step != nil {
			free = free.Sub(reserved(*step))
		}
	}
	return free
}

// end ends the run of a task. The caller holds w.mu.
func (w *simulatedWorker) end(name string, cause shard.EndCause) {
	s := w.runs[name]
	delete(w.runs, name)
	w.endCount++
	w.highestEnded[name] = s.Run
	starts := w.tasks.ended(name, cause, "run %d ends as number %d on %s, lifetime %d: %s", s.Run, w.endCount, w.ID, w.restarts+1, cause)
	row := shard.EndRow{Cause: cause, Job: s.Job, Key: s.Key, Number: w.endCount, Run: s.Run}
	w.ended = append(w.ended, listedEnd{EndRow: row, at: time.Now(), starts: starts})
	close(w.changed)
	w.changed = make(chan struct{})
}

// crash ends the worker with its runs, which it never lists. It answers no call until restart.
func (w *simulatedWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isDown = true
	for name := range w.runs {
		w.end(name, shard.EndFailed)
	}
}

// restart begins a new life of a worker that crashed, under the same id. It knows nothing of before, but calls that were sent to the life
// before may still reach it, see holds.
func (w *simulatedWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Born = max(w.Born+1, time.Now().UnixMilli())
	w.restarts++
	if w.nextClockStart != nil {
		w.clockStart = w.nextClockStart(w.clock())
	}
	w.isDown, w.endCount, w.lapsedEnd, w.ended, w.highestEnded, w.token = false, 0, 0, nil, map[string]int{}, 0
	w.started, w.leaseEnd = time.Now(), time.Time{}
}

// entry returns the worker as its registry entry describes it.
func (w *simulatedWorker) entry() shard.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Worker
}

// failAll ends all runs as failed.
func (w *simulatedWorker) failAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.runs {
		w.end(name, shard.EndFailed)
	}
}

// longRunning returns how many long-running tasks run on the worker.
func (w *simulatedWorker) longRunning() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.runs {
		if w.tasks.isExpected(s.Job) {
			n++
		}
	}
	return n
}

// leave ends the worker for good, and with it all its runs. It returns how many of them were long-running.
func (w *simulatedWorker) leave() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasLeft = true
	longRunning := 0
	for name, s := range w.runs {
		if w.tasks.isExpected(s.Job) {
			longRunning++
		}
		w.end(name, shard.EndFailed)
	}
	return longRunning
}

func (w *simulatedWorker) stop(ctx context.Context, s shard.Stop) shard.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isReachable() {
		return shard.Reply{Outcome: w.unreachable()}
	}
	reply := w.executeStop(s)
	if !w.respond(ctx) {
		return shard.Reply{Outcome: shard.OutcomeUnknown}
	}
	return reply
}

// executeStop carries a stop out. The caller holds w.mu.
func (w *simulatedWorker) executeStop(s shard.Stop) shard.Reply {
	if !w.accept(s.Token, 0) {
		return shard.Reply{Clock: w.clock(), Outcome: shard.OutcomeFenced}
	}
	name := s.Key.Name(s.Job)
	if run, ok := w.runs[name]; ok && run.Run <= s.Run {
		w.end(name, shard.EndStopped)
	}
	w.highestEnded[name] = max(w.highestEnded[name], s.Run)
	return shard.Reply{Clock: w.clock(), Outcome: shard.OutcomeDone}
}

func (w *simulatedWorker) poll(ctx context.Context, p shard.Poll) (shard.Listing, shard.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isReachable() {
		if w.unreachable() == shard.OutcomeNotSent {
			return shard.Listing{}, shard.OutcomeNotSent
		}
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return shard.Listing{}, shard.OutcomeUnknown
	}
	if !w.executePoll(p) {
		if !w.respond(ctx) {
			return shard.Listing{}, shard.OutcomeUnknown
		}
		return shard.Listing{}, shard.OutcomeFenced
	}
	born := w.Born
	if len(w.ended) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(max(p.Wait, retry.ShortestTimer)):
		case <-ctx.Done():
		}
		w.mu.Lock()
	}
	if ctx.Err() != nil || w.hasLeft || w.isCut || w.isDown || w.Born != born {
		return shard.Listing{}, shard.OutcomeUnknown
	}
	list := shard.Listing{Born: w.Born, Clock: w.clock()}
	for _, e := range w.ended {
		list.Ended = append(list.Ended, e.EndRow)
	}
	for _, s := range w.runs {
		list.Running = append(list.Running, shard.RunningRow{Job: s.Job, Key: s.Key, Percent: 100, Run: s.Run})
	}
	if !w.respond(ctx) {
		return shard.Listing{}, shard.OutcomeUnknown
	}
	return list, shard.OutcomeDone
}

// executePoll carries out what a poll orders: it renews the lease and drops the ends that the poll acknowledges. It returns false if the
// token of the poll is refused. The caller holds w.mu.
func (w *simulatedWorker) executePoll(p shard.Poll) bool {
	if !w.accept(p.Token, p.Until) {
		return false
	}
	w.polls = append(w.polls, acceptedPoll{p, time.Now()})
	w.ended = slices.DeleteFunc(w.ended, func(e listedEnd) bool {
		if e.Number > p.LastSeen {
			return false
		}
		if e.Number > w.lapsedEnd {
			w.tasks.acknowledged(w.ID, w.restarts+1, e, p)
		}
		return true
	})
	return true
}
