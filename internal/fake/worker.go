package fake

import (
	"context"
	"crypto/rand"
	"hash/fnv"
	"maps"
	mathrand "math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// Worker is a fake worker: it serves the control protocol and requests, and simulates the progress of tasks.
//
// It runs no timers for tasks: their state is computed from its clock whenever the worker is called.
type Worker struct {
	workerOptions
	address string
	bootID  string
	// serviceTimes holds the durations of the short requests since the last sample, by service.
	serviceTimes    map[string][]time.Duration
	epoch           int64
	failing         bool
	requestsByEpoch map[string]map[int64]int // numbers of requests in flight, by service and epoch
	// inUse holds the numbers of requests in flight, by service and over all services under allSlots and allConnections.
	inUse map[string]int64
	// lastAttempt is the last attempt started or stopped, by task. It is kept after the end is acknowledged, so that a
	// delayed start request can't run the attempt again.
	lastAttempt map[string]int64
	// lastStamp is the last result of nextStamp, in microseconds of the worker's clock. Stamps give the order of changes
	// and tokens.
	lastStamp      int64
	leavingStarted chan struct{}
	leaving        bool
	mu             sync.Mutex
	mux            *http.ServeMux
	nextSample     time.Time
	owner          string
	peaks          map[string]int64 // the highest values of inUse
	refusals       map[worker.Reason]int
	samples        []sample
	server         *http.Server
	stopped        bool
	tasks          map[string]*task
}

// NewWorker returns a worker that doesn't listen before Start. As an http.Handler it can be called without Start.
func NewWorker(opts ...WorkerOption) *Worker {
	w := &Worker{
		workerOptions:  defaultWorkerOptions(),
		leavingStarted: make(chan struct{}),
		peaks:          map[string]int64{},
		refusals:       map[worker.Reason]int{},
	}
	for _, opt := range opts {
		opt(&w.workerOptions)
	}
	if w.journal == nil {
		w.journal = NewJournal(time.Now)
	}
	if w.rng == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(w.id))
		w.rng = mathrand.New(mathrand.NewPCG(h.Sum64(), 0))
	}
	w.mux = w.routes()
	w.boot()
	w.journal.registerWorker(func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance()
	})
	return w
}

// Address returns the address on which the worker listens, as host:port; a restart doesn't change it.
func (w *Worker) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// Kill stops the worker at once, as a power failure does: connections are closed and tasks are lost.
func (w *Worker) Kill() {
	w.mu.Lock()
	server := w.server
	w.crash()
	w.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Peak returns the highest number of requests of a service that were in flight at once.
func (w *Worker) Peak(service string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peaks[service]
}

// PeakSlots returns the highest number of short requests, of all services together, that were in flight at once.
func (w *Worker) PeakSlots() int64 { return w.Peak(allSlots) }

// PeakConnections returns the highest number of feed connections that were open at once.
func (w *Worker) PeakConnections() int64 { return w.Peak(allConnections) }

// Refusals returns how many control calls and requests were refused for a reason.
func (w *Worker) Refusals(reason worker.Reason) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refusals[reason]
}

// Restart kills the worker and starts it on the same address with a new boot id and no tasks. The installed epoch and
// its owner are kept, as a real worker keeps them on disk.
func (w *Worker) Restart() error {
	w.Kill()
	w.mu.Lock()
	w.boot()
	w.mu.Unlock()
	return w.Start()
}

// ServeHTTP answers control calls and requests; a worker that was killed aborts the connection.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	stopped := w.stopped
	w.mu.Unlock()
	if stopped {
		panic(http.ErrAbortHandler)
	}
	w.mux.ServeHTTP(rw, r)
}

// SetFailing makes every task fail after 100 ms and every request at once; false restores the normal behaviour, also of
// tasks that still run.
func (w *Worker) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.failing = failing
	for _, t := range w.tasks {
		t.failsAt = time.Time{}
		if failing {
			t.failsAt = t.advancedTo.Add(failureDelay)
		}
	}
}

// SetLeaving makes the worker refuse starts and requests and end its feeds; false makes it accept them again.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if leaving == w.leaving {
		return
	}
	w.leaving = leaving
	if leaving {
		close(w.leavingStarted)
		return
	}
	w.leavingStarted = make(chan struct{})
}

// Start listens on a free loopback port, or after a restart on the same port as before.
func (w *Worker) Start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, err := Listen(w.address)
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	server := &http.Server{Handler: w}
	w.server = server
	go func() { _ = server.Serve(l) }()
	return nil
}

// Stop shuts the worker down gracefully: requests in flight finish and feeds end with ReconnectLine. Tasks are lost.
func (w *Worker) Stop(ctx context.Context) error {
	w.SetLeaving(true)
	w.mu.Lock()
	server := w.server
	w.mu.Unlock()
	var err error
	if server != nil {
		err = server.Shutdown(ctx)
	}
	w.Kill()
	return err
}

// Tasks returns the attempts that run or whose end isn't acknowledged yet, sorted by task id.
func (w *Worker) Tasks() []worker.Task {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var out []worker.Task
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		out = append(out, w.tasks[id].toWire())
	}
	return out
}

// advance brings tasks and samples up to the present; callers hold mu. Samples that are too old to be kept are skipped.
func (w *Worker) advance() {
	now := w.now()
	if oldest := now.Add(-maxKeptSamples * w.sampleInterval); w.nextSample.Before(oldest) {
		w.nextSample = oldest
	}
	for ; !w.nextSample.After(now); w.nextSample = w.nextSample.Add(w.sampleInterval) {
		w.advanceTo(w.nextSample)
		w.takeSample(w.nextSample)
	}
	w.advanceTo(now)
}

// advanceTo brings tasks up to the given time and ends those that have reached their end; callers hold mu.
func (w *Worker) advanceTo(now time.Time) {
	for _, t := range w.tasks {
		if t.phase.IsEnd() || now.Before(t.advancedTo) {
			continue
		}
		at, phase, reason := t.expectedEnd()
		ends := !at.After(now)
		if !ends {
			at = now
		}
		if t.addProgress(at) {
			t.changeStamp = w.nextStamp()
		}
		if ends {
			w.endTask(t, phase, reason)
		}
	}
}

// boot resets all state that a restart loses; callers hold mu.
func (w *Worker) boot() {
	w.bootID = rand.Text()[:8]
	w.serviceTimes = map[string][]time.Duration{}
	w.requestsByEpoch = map[string]map[int64]int{}
	w.inUse = map[string]int64{}
	w.lastAttempt = map[string]int64{}
	w.nextSample = w.now().Add(w.sampleInterval)
	w.samples = nil
	w.stopped = false
	w.tasks = map[string]*task{}
	if w.leaving {
		w.leaving, w.leavingStarted = false, make(chan struct{})
	}
}

// endTask ends an attempt at the time to which it has been advanced, which it converts to the journal's clock.
func (w *Worker) endTask(t *task, phase worker.Phase, reason string) {
	t.phase, t.reason, t.changeStamp = phase, reason, w.nextStamp()
	w.journal.endRun(t.runIndex, t.advancedTo.Add(w.journal.now().Sub(w.now())))
}

// crash stops the worker, ends all running tasks in the journal and deletes all tasks; callers hold mu.
func (w *Worker) crash() {
	w.advance()
	for _, t := range w.tasks {
		if !t.phase.IsEnd() {
			w.endTask(t, worker.PhaseFailed, ReasonWorkerFault)
		}
	}
	w.stopped, w.server, w.tasks = true, nil, map[string]*task{}
}

// reserved returns the sum of what the running tasks reserve.
func (w *Worker) reserved() fleet.Resources {
	var sum fleet.Resources
	for _, t := range w.runningTasks() {
		sum = sum.Add(t.Resources)
	}
	return sum
}

// runningTasks returns the running attempts, sorted by task id.
func (w *Worker) runningTasks() []*task {
	var out []*task
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if t := w.tasks[id]; !t.phase.IsEnd() {
			out = append(out, t)
		}
	}
	return out
}

// nextStamp returns the current time in microseconds, or one more than the last stamp if that is later, so that every
// stamp is unique and larger than those before.
func (w *Worker) nextStamp() int64 {
	w.lastStamp = max(w.now().UnixMicro(), w.lastStamp+1)
	return w.lastStamp
}
