package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// The sizes of workers, as far as a case has no others.
	workerCPU   = 8000
	largeCPU    = 12000
	workerMemMB = 16000
	// commonKind is the kind of the workers, as far as a case has no others.
	commonKind = "a"
	// remoteFactor is that of the site.
	remoteFactor = 2
	// maxHold is the longest lease that a worker grants, as far as a case has no other: maxHoldMs of the site.
	maxHold = 10 * time.Second
	// stopTime is how long a run takes to stop, at most stopTimeoutMs of the site.
	stopTime = 100 * time.Millisecond
	// failTime is how long a run takes on a worker that fails all that it starts.
	failTime = 50 * time.Millisecond
	// tick is how often a worker looks for runs whose time is over.
	tick = 5 * time.Millisecond
)

// run is a run on a worker.
type run struct {
	// cause is how the run ends at endsAt.
	cause   string
	endsAt  time.Time
	number  int
	percent int
	task    string
}

// end is an end that was not acknowledged.
type end struct {
	cause    string
	hasLapse bool
	n        int64
	run      int
	task     string
}

// worker is a stand-in for a worker with the calls that PROTOCOL.md describes. It guards no capacity.
type worker struct {
	address string
	changed chan struct{}
	cpu     int
	ends    []end
	fleet   *fleet
	// highest is, by task, the highest number of a run that was stopped or has ended.
	highest  map[string]int
	id, rack string
	// kind is the worker's first label.
	kind string
	// isDark is set once the worker is lost: it runs nothing any more and is silent.
	isDark bool
	// isFailing is set while the worker fails all that it starts.
	isFailing bool
	lastEnd   int64
	// leaseEnd is on the worker's clock.
	leaseEnd time.Duration
	mu       sync.Mutex
	runs     []*run
	server   *http.Server
	started  time.Time
	token    int64
}

type call struct {
	FencingToken int64
	LastSeen     int64
	Percent      int
	Run          int
	Spec         string
	Task         string
	UntilMs      int64
	WaitMs       int64
}

func newWorker(f *fleet, id, rack string, cpu int) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		address: ln.Addr().String(), changed: make(chan struct{}), cpu: cpu, fleet: f, highest: map[string]int{}, id: id, rack: rack,
		kind: commonKind, started: time.Now(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serve(w.start))
	mux.HandleFunc("POST /run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /hold", w.serve(w.hold))
	mux.HandleFunc("POST /pace", w.serve(w.pace))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(ln) }()
	go func() {
		for range time.Tick(tick) {
			w.mu.Lock()
			w.endDueRuns()
			w.mu.Unlock()
		}
	}()
	return w, nil
}

// entry is the worker's entry in the registry.
func (w *worker) entry() map[string]any {
	return map[string]any{
		"service": "ripenctl", "address": w.address, "zone": "kelaniya", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"machine": "m-" + w.id, "capacity": map[string]int{"cpu": w.cpu, "memMb": workerMemMB, "gpu": 0},
		"labels": []string{w.kind, w.rack}, "seq": 1, "born": w.started.UnixMilli(), "clockMs": w.clock().Milliseconds(),
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.started) }

// answer returns the body of a response.
func (w *worker) answer(fields map[string]any) map[string]any {
	fields["born"], fields["clockMs"] = w.started.UnixMilli(), w.clock().Milliseconds()
	return fields
}

func (w *worker) serve(execute func(http.ResponseWriter, *http.Request, call)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c call
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			respond(rw, http.StatusBadRequest, struct{}{})
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.staysSilent(r) {
			return
		}
		w.endDueRuns()
		switch id := r.Header.Get("Expect-Instance"); {
		case id != "" && id != w.id:
			respond(rw, http.StatusMisdirectedRequest, w.answer(map[string]any{}))
		case c.FencingToken < w.token:
			w.refuse(rw, "fence")
		default:
			w.token = c.FencingToken
			until := min(time.Duration(c.UntilMs)*time.Millisecond, w.clock()+w.fleet.maxHold)
			w.leaseEnd = max(w.leaseEnd, until)
			execute(rw, r, c)
		}
	}
}

// staysSilent reports whether the worker is lost, after its caller has given up.
func (w *worker) staysSilent(r *http.Request) bool {
	if !w.isDark {
		return false
	}
	w.mu.Unlock()
	<-r.Context().Done()
	w.mu.Lock()
	return true
}

// lose ends the worker for good. It says nothing.
func (w *worker) lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isDark = true
	for _, r := range w.runs {
		w.fleet.lost(w, r)
	}
	w.runs = nil
}

// setFailing makes the worker fail all that it starts from now on, or no longer.
func (w *worker) setFailing(isFailing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isFailing = isFailing
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	respond(rw, http.StatusConflict, w.answer(map[string]any{"reason": reason}))
}

func (w *worker) start(rw http.ResponseWriter, _ *http.Request, c call) {
	for _, r := range w.runs {
		if r.task == c.Task && r.number == c.Run {
			respond(rw, http.StatusOK, w.answer(map[string]any{}))
			return
		}
	}
	switch {
	case c.Run <= w.highest[c.Task]:
		w.refuse(rw, "old")
		return
	case time.Duration(c.UntilMs)*time.Millisecond <= w.clock():
		w.refuse(rw, "late")
		return
	}
	r := &run{number: c.Run, percent: 100, task: c.Task}
	if d := w.fleet.duration(c.Task, w.rack); d > 0 {
		r.cause, r.endsAt = "done", time.Now().Add(d)
	}
	if w.isFailing {
		r.cause, r.endsAt = "failed", time.Now().Add(failTime)
	}
	w.runs = append(w.runs, r)
	w.fleet.started(w, c)
	respond(rw, http.StatusOK, w.answer(map[string]any{}))
}

func (w *worker) stop(rw http.ResponseWriter, _ *http.Request, c call) {
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	for _, r := range w.runs {
		if at := time.Now().Add(stopTime); r.task == c.Task && r.number == c.Run && (r.endsAt.IsZero() || r.endsAt.After(at)) {
			r.cause, r.endsAt = "stopped", at
		}
	}
	respond(rw, http.StatusOK, w.answer(map[string]any{}))
}

func (w *worker) pace(rw http.ResponseWriter, _ *http.Request, c call) {
	for _, r := range w.runs {
		if r.task == c.Task && r.number == c.Run {
			r.percent = c.Percent
		}
	}
	respond(rw, http.StatusOK, w.answer(map[string]any{}))
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, c call) {
	for len(w.ends) > 0 && w.ends[0].n <= c.LastSeen {
		w.fleet.noted(w, w.ends[0])
		w.ends = w.ends[1:]
	}
	deadline := time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	for isOver := c.WaitMs == 0; len(w.ends) == 0 && !isOver; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			isOver = true
		case <-r.Context().Done():
			isOver = true
		}
		w.mu.Lock()
	}
	if w.staysSilent(r) {
		return
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", r.percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.cause, ""})
	}
	respond(rw, http.StatusOK, w.answer(map[string]any{"running": running, "ended": ended}))
}

// endDueRuns ends the runs whose time is over, and all runs if the lease has ended.
func (w *worker) endDueRuns() {
	isLapsed, now := w.clock() > w.leaseEnd, time.Now()
	var rest []*run
	for _, r := range w.runs {
		cause := r.cause
		switch {
		case !r.endsAt.IsZero() && !now.Before(r.endsAt):
		case isLapsed:
			cause = "lapsed"
		default:
			rest = append(rest, r)
			continue
		}
		w.lastEnd++
		w.highest[r.task] = max(w.highest[r.task], r.number)
		e := end{cause: cause, n: w.lastEnd, run: r.number, task: r.task}
		w.ends = append(w.ends, e)
		w.fleet.ended(w, e)
	}
	if len(rest) != len(w.runs) {
		close(w.changed)
		w.changed = make(chan struct{})
	}
	w.runs = rest
	if isLapsed {
		for i := range w.ends {
			w.ends[i].hasLapse = true
		}
	}
}

// doneEnd is an end as done.
type doneEnd struct {
	at time.Time
	// isNoted is set once the end was taken note of.
	isNoted bool
	number  int64
	// starts describes the later starts of the task.
	starts []string
	worker *worker
}

// fleet records what the workers see, and checks rule TWICE.
type fleet struct {
	// remote holds the rack of the data of jobs, away from which their tasks take longer.
	remote map[string]string
	// stepDurations replaces durations for steps of jobs.
	stepDurations map[string]time.Duration
	// durations is how long the tasks of a job run; 0 for tasks that last.
	durations map[string]time.Duration
	// maxHold is the longest lease that a worker grants.
	maxHold time.Duration
	mu      sync.Mutex
	// done holds, by task, its first end as done.
	done   map[string]*doneEnd
	record *record
	// running is the number of runs of each task.
	running    map[string]int
	starts     int
	violations []string
}

func newFleet(r *record) *fleet {
	return &fleet{
		remote: map[string]string{}, stepDurations: map[string]time.Duration{}, done: map[string]*doneEnd{}, durations: map[string]time.Duration{}, maxHold: maxHold, record: r, running: map[string]int{},
	}
}

// duration returns how long a task takes in a rack; 0 if it lasts.
func (f *fleet) duration(task, rack string) time.Duration {
	job, rest, _ := strings.Cut(task, ".")
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.durations[job]
	if step, ok := f.stepDurations[job+"."+strings.Split(rest, ".")[1]]; ok {
		d = step
	}
	if f.remote[job] != "" && f.remote[job] != rack {
		d *= remoteFactor
	}
	return d
}

func (f *fleet) started(w *worker, c call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	f.running[c.Task]++
	f.record.add("worker %s: start of %s, run %d, token %d", w.id, c.Task, c.Run, c.FencingToken)
	if f.running[c.Task] > 1 {
		f.violate("TWICE: " + strconv.Itoa(f.running[c.Task]) + " runs of " + c.Task + " at the same time")
	}
	if d := f.done[c.Task]; d != nil {
		text := fmt.Sprintf("TWICE: run %d of %s starts on worker %s %s after a run of it has ended done, an end that was taken note of",
			c.Run, c.Task, w.id, time.Since(d.at).Round(time.Millisecond))
		if d.isNoted {
			f.violate(text)
		} else {
			d.starts = append(d.starts, text)
		}
	}
}

func (f *fleet) ended(w *worker, e end) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[e.task]--
	f.record.add("worker %s: end %d of %s, run %d: %s", w.id, e.n, e.task, e.run, e.cause)
	if e.cause == "done" && f.done[e.task] == nil {
		f.done[e.task] = &doneEnd{at: time.Now(), number: e.n, worker: w}
	}
}

// lost notes that a run has ended with its worker, which can't say so.
func (f *fleet) lost(w *worker, r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[r.task]--
	f.record.add("worker %s: lost with run %d of %s", w.id, r.number, r.task)
}

// noted notes that an end was taken note of. It does not count if the lease ended meanwhile.
func (f *fleet) noted(w *worker, e end) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.done[e.task]
	if e.cause != "done" || e.hasLapse || d == nil || d.worker != w || d.number != e.n {
		return
	}
	f.record.add("worker %s: end %d of %s was taken note of", w.id, e.n, e.task)
	d.isNoted = true
	for _, text := range d.starts {
		f.violate(text)
	}
}

func (f *fleet) violate(text string) {
	f.violations = append(f.violations, text)
	f.record.add("%s", text)
}

func (f *fleet) broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violations
}
