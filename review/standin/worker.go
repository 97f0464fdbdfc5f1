package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a run of a task on a worker.
type run struct {
	// endsAt is when the run ends by itself with the cause; zero if it does not.
	cause  string
	endsAt time.Time
	number int
	// saves is set if the run saves its progress when it is over.
	saves bool
	task  string
}

type ended struct {
	cause  string
	number int64
	run    int
	saved  string
	task   string
}

// work is what the stand-in reads from the spec of a job: how long a task runs, in milliseconds; 0 means until it is stopped.
type work struct {
	Ms    int64 `json:"ms"`
	Saves bool  `json:"saves,omitempty"`
}

// worker is a stand-in for a worker. It carries out what it is told to and checks nothing but what the pages say.
type worker struct {
	address string
	born    time.Time
	ends    []ended
	endSeq  int64
	// highest is, by task, the highest run that was stopped or has ended.
	highest  map[string]int
	id       string
	isSilent bool
	// labels are the worker's kind and its rack.
	labels   []string
	leaseEnd int64
	maxLease time.Duration
	mu       sync.Mutex
	record   *record
	runs     []run
	store    *store
	token    int64
	zone     string
}

const (
	heartbeat      = 1100 * time.Millisecond
	workerCPU      = 8000
	workerMemory   = 32000
	serviceName    = "svc"
	checkInterval  = 10 * time.Millisecond
	maxEnds        = 500
	silentBeats    = 3
	leaseEndReason = "lapsed"
)

func newWorker(s *store, r *record, n int, zone string, labels []string, maxLease time.Duration) *worker {
	w := &worker{
		born: time.Now(), highest: map[string]int{}, id: "i-" + strconv.Itoa(1000+n), labels: labels, maxLease: maxLease, record: r,
		store: s, zone: zone,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.start)
	mux.HandleFunc("POST /run-stop", w.stop)
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("POST /pace", w.pace)
	w.address = serve(mux)
	go w.beat()
	return w
}

// beat writes the worker's registry entry, and removes it after three intervals of silence as the platform does.
func (w *worker) beat() {
	silent := 0
	for seq := 1; ; seq++ {
		w.mu.Lock()
		isSilent := w.isSilent
		w.mu.Unlock()
		if isSilent {
			silent++
			if silent == silentBeats {
				w.store.remove("servers/" + w.id)
			}
		} else {
			value, _ := json.Marshal(map[string]any{
				"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
				"coldRemainingMs": 0, "capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemory, "gpu": 0},
				"labels": w.labels, "machine": "m-" + w.id, "born": w.born.UnixMilli(), "clockMs": w.clock(),
				"seq": seq,
			})
			w.store.put("servers/"+w.id, value)
		}
		time.Sleep(heartbeat)
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// goDark makes the worker lose power for good: its runs are gone and it answers nothing more.
func (w *worker) goDark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.runs {
		w.record.runEnded(w.id, x.task, x.number, "lost with its worker")
	}
	w.isSilent, w.runs, w.ends = true, nil, nil
}

// failRun ends one run of a task by its own fault.
func (w *worker) failRun(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := len(w.runs)
	w.endRuns("failed", func(x run) bool { return x.task == task })
	return len(w.runs) < before
}

type call struct {
	FencingToken int64
	LastSeen     int64
	Run          int
	Spec         string
	Task         string
	UntilMs      int64
	WaitMs       int64
}

// accept decodes a call and checks what all calls share. It returns false if the call is answered. The caller holds w.mu.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request, c *call) bool {
	if w.isSilent {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return false
	}
	if err := json.NewDecoder(r.Body).Decode(c); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{"clockMs": w.clock()})
		return false
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		reply(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock()})
		return false
	}
	w.advance()
	if c.FencingToken < w.token {
		w.refuse(rw, "fence")
		return false
	}
	w.token, w.leaseEnd = c.FencingToken, max(w.leaseEnd, min(c.UntilMs, w.clock()+w.maxLease.Milliseconds()))
	return true
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"born": w.born.UnixMilli(), "clockMs": w.clock(), "reason": reason})
}

func (w *worker) done(rw http.ResponseWriter) {
	reply(rw, http.StatusOK, map[string]any{"born": w.born.UnixMilli(), "clockMs": w.clock()})
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var c call
	if !w.accept(rw, r, &c) {
		return
	}
	for _, x := range w.runs {
		if x.task == c.Task && x.number == c.Run {
			w.done(rw)
			return
		}
	}
	switch {
	case c.Run <= w.highest[c.Task]:
		w.refuse(rw, "old")
		return
	case c.UntilMs <= w.clock():
		w.refuse(rw, "late")
		return
	}
	var todo work
	_ = json.Unmarshal([]byte(c.Spec), &todo)
	x := run{cause: "done", number: c.Run, saves: todo.Saves, task: c.Task}
	if todo.Ms > 0 {
		x.endsAt = time.Now().Add(time.Duration(todo.Ms) * time.Millisecond)
	}
	w.runs = append(w.runs, x)
	w.record.runStarted(w.id, c.Task, c.Run)
	w.done(rw)
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var c call
	if !w.accept(rw, r, &c) {
		return
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	w.endRuns("stopped", func(x run) bool { return x.task == c.Task && x.number <= c.Run })
	w.done(rw)
}

func (w *worker) pace(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var c call
	if w.accept(rw, r, &c) {
		w.done(rw)
	}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var c call
	if !w.accept(rw, r, &c) {
		return
	}
	for len(w.ends) > 0 && w.ends[0].number <= c.LastSeen {
		w.ends = w.ends[1:]
	}
	deadline := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(deadline) && !w.isSilent {
		w.mu.Unlock()
		time.Sleep(checkInterval)
		w.mu.Lock()
		w.advance()
	}
	if w.isSilent {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return
	}
	running, ends := [][]any{}, [][]any{}
	for _, x := range w.runs {
		running = append(running, []any{x.task, x.number, "", 100, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.cause, e.saved})
	}
	reply(rw, http.StatusOK, map[string]any{
		"born": w.born.UnixMilli(), "clockMs": w.clock(), "ended": ends, "running": running,
	})
}

// advance ends the runs that are over, and all runs if the lease has expired. The caller holds w.mu.
func (w *worker) advance() {
	w.endRuns("done", func(x run) bool { return !x.endsAt.IsZero() && time.Now().After(x.endsAt) })
	if w.clock() > w.leaseEnd {
		w.endRuns(leaseEndReason, func(run) bool { return true })
	}
}

// endRuns ends the runs that match. The caller holds w.mu.
func (w *worker) endRuns(cause string, match func(run) bool) {
	var rest []run
	for _, x := range w.runs {
		if !match(x) {
			rest = append(rest, x)
			continue
		}
		w.endSeq++
		saved := ""
		if x.saves {
			saved = fmt.Sprintf("%016x", rand.Uint64())
		}
		w.ends = append(w.ends, ended{cause: cause, number: w.endSeq, run: x.number, saved: saved, task: x.task})
		w.highest[x.task] = max(w.highest[x.task], x.number)
		w.record.runEnded(w.id, x.task, x.number, cause)
	}
	w.runs = rest
}

// runs returns whether the worker runs a task of a job with a prefix of its name.
func (w *worker) hasRun(prefix string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isSilent {
		w.advance()
	}
	for _, x := range w.runs {
		if strings.HasPrefix(x.task, prefix) {
			return true
		}
	}
	return false
}

// load returns the number of runs.
func (w *worker) load() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}
