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

// Worker is a stand-in for a worker.
//
// It runs no timers for tasks: whatever happened by its clock is worked out when it is asked.
type Worker struct {
	workerOptions
	address string
	bootID  string
	// durations are the service times of requests since the last sample, by service.
	durations map[string][]time.Duration
	epoch     int64
	failing   bool
	flying    map[string]map[int64]int // requests that run, by service and epoch
	inUse     map[string]int64
	// lastAttempt outlives acknowledged ends, so a delayed start can't run again.
	lastAttempt map[string]int64
	// lastStamp orders changes and tokens, in microseconds of the worker's clock.
	lastStamp  int64
	leave      chan struct{}
	leaving    bool
	mu         sync.Mutex
	mux        *http.ServeMux
	nextSample time.Time
	owner      string
	peaks      map[string]int64
	refusals   map[worker.Reason]int
	samples    []sample
	server     *http.Server
	stopped    bool
	tasks      map[string]*task
}

// NewWorker returns a worker that isn't started; as an http.Handler it answers at once.
func NewWorker(opts ...WorkerOption) *Worker {
	w := &Worker{
		workerOptions: defaultWorkerOptions(),
		leave:         make(chan struct{}),
		peaks:         map[string]int64{},
		refusals:      map[worker.Reason]int{},
	}
	for _, opt := range opts {
		opt(&w.workerOptions)
	}
	if w.journal == nil {
		w.journal = NewJournal(time.Now)
	}
	if w.rnd == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(w.id))
		w.rnd = mathrand.New(mathrand.NewPCG(h.Sum64(), 0))
	}
	w.mux = w.routes()
	w.boot()
	w.journal.register(func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance()
	})
	return w
}

// Address returns where the worker answers, as host:port; it stays the same over restarts.
func (w *Worker) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// Kill ends the worker at once as a power failure does: connections break and tasks are lost.
func (w *Worker) Kill() {
	w.mu.Lock()
	server := w.server
	w.halt()
	w.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Peak returns the most requests of a service that ever ran at once.
func (w *Worker) Peak(service string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peaks[service]
}

// PeakSlots returns the most short requests of all services that ever ran at once.
func (w *Worker) PeakSlots() int64 { return w.Peak(allSlots) }

// PeakConnections returns the most feed connections that were ever open at once.
func (w *Worker) PeakConnections() int64 { return w.Peak(allConnections) }

// Refusals returns how many calls and requests were refused for a reason.
func (w *Worker) Refusals(reason worker.Reason) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refusals[reason]
}

// Restart kills the worker and boots it anew on the same address; the installed epoch is kept as on disk.
func (w *Worker) Restart() error {
	w.Kill()
	w.mu.Lock()
	w.boot()
	w.mu.Unlock()
	return w.Start()
}

// ServeHTTP answers control calls and requests; a worker that is down breaks the connection.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	stopped := w.stopped
	w.mu.Unlock()
	if stopped {
		panic(http.ErrAbortHandler)
	}
	w.mux.ServeHTTP(rw, r)
}

// SetFailing makes the worker fail every task and request quickly, or ends that.
func (w *Worker) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.failing = failing
	for _, t := range w.tasks {
		t.failAt = time.Time{}
		if failing {
			t.failAt = t.at.Add(faultDelay)
		}
	}
}

// SetLeaving makes the worker refuse starts and requests and end its feeds, or ends that.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if leaving == w.leaving {
		return
	}
	w.leaving = leaving
	if leaving {
		close(w.leave)
		return
	}
	w.leave = make(chan struct{})
}

// Start listens on a loopback port: a new one at first, the same one after a restart.
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

// Stop shuts the worker down gracefully: requests in flight finish, feeds end with a reconnect hint.
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

// Tasks returns the attempts that the worker holds, by task.
func (w *Worker) Tasks() []worker.Task {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var out []worker.Task
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		out = append(out, w.tasks[id].wire())
	}
	return out
}

// advance works out what happened up to now; callers hold mu.
func (w *Worker) advance() {
	now := w.now()
	if oldest := now.Add(-maxSamples * w.sampleInterval); w.nextSample.Before(oldest) {
		w.nextSample = oldest
	}
	for ; !w.nextSample.After(now); w.nextSample = w.nextSample.Add(w.sampleInterval) {
		w.advanceTo(w.nextSample)
		w.sample(w.nextSample)
	}
	w.advanceTo(now)
}

func (w *Worker) advanceTo(now time.Time) {
	for _, t := range w.tasks {
		if t.phase.IsEnd() || now.Before(t.at) {
			continue
		}
		at, phase, reason := t.nextEnd()
		ends := !at.After(now)
		if !ends {
			at = now
		}
		if t.integrate(at) {
			t.changed = w.stamp()
		}
		if ends {
			w.end(t, phase, reason)
		}
	}
}

func (w *Worker) boot() {
	w.bootID = rand.Text()[:8]
	w.durations = map[string][]time.Duration{}
	w.flying = map[string]map[int64]int{}
	w.inUse = map[string]int64{}
	w.lastAttempt = map[string]int64{}
	w.nextSample = w.now().Add(w.sampleInterval)
	w.samples = nil
	w.stopped = false
	w.tasks = map[string]*task{}
	if w.leaving {
		w.leaving, w.leave = false, make(chan struct{})
	}
}

// end ends an attempt at the time it has been advanced to.
func (w *Worker) end(t *task, phase worker.Phase, reason string) {
	t.phase, t.reason, t.changed = phase, reason, w.stamp()
	w.journal.end(t.run, t.at.Add(w.journal.now().Sub(w.now())))
}

// halt loses all tasks; callers hold mu.
func (w *Worker) halt() {
	w.advance()
	for _, t := range w.tasks {
		if !t.phase.IsEnd() {
			w.end(t, worker.PhaseFailed, ReasonWorkerFault)
		}
	}
	w.stopped, w.server, w.tasks = true, nil, map[string]*task{}
}

func (w *Worker) reserved() fleet.Resources {
	var sum fleet.Resources
	for _, t := range w.running() {
		sum = sum.Add(t.Resources)
	}
	return sum
}

// running returns the running attempts, by task.
func (w *Worker) running() []*task {
	var out []*task
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if t := w.tasks[id]; !t.phase.IsEnd() {
			out = append(out, t)
		}
	}
	return out
}

// stamp returns a time that no earlier change or token has.
func (w *Worker) stamp() int64 {
	w.lastStamp = max(w.now().UnixMicro(), w.lastStamp+1)
	return w.lastStamp
}
