package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// ReconnectLine is the last line of a feed that ends because its worker is leaving. It tells the client to reconnect.
const ReconnectLine = "reconnect"

// Keys under which inUse and peaks count all services together. No service can have such a name.
const (
	allConnections = "(connections)"
	allSlots       = "(slots)"
)

// admission is an admitted request, which holds a slot or a connection.
type admission struct {
	bootID         string
	epoch          int64
	leavingStarted chan struct{}
	service        string
	task           *task
	duration       time.Duration
	totalName      string // allSlots or allConnections
}

func echoRequest(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(rw, "%s /%s\n%s", r.Method, r.PathValue("path"), body)
}

func (w *Worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(worker.HeaderRequestID)
	rw.Header().Set(worker.HeaderRequestID, id)
	rw.Header().Set(worker.HeaderWorker, w.id)
	w.mu.Lock()
	w.advance()
	a, err := w.admit(r)
	failing := w.failing
	w.mu.Unlock()
	if err != nil {
		rw.Header().Set(worker.HeaderOutcome, worker.OutcomeNotRun)
		rw.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(rw).Encode(err)
		return
	}
	defer w.release(a)
	switch {
	case failing:
		http.Error(rw, ReasonWorkerFault, http.StatusInternalServerError)
	case a.task.Kind == note.KindFeed:
		w.stream(rw, r, a)
	default:
		// The request runs to its end even if the client has disconnected, as in a server that doesn't watch its
		// connection.
		time.Sleep(a.duration)
		w.abortIfTaskEnded(a)
		w.handler(rw, r)
	}
}

// admit takes a slot, or a connection for a feed, or returns a Refusal; callers hold mu.
func (w *Worker) admit(r *http.Request) (admission, error) {
	service := r.PathValue("service")
	epoch, err := strconv.ParseInt(r.Header.Get(worker.HeaderEpoch), 10, 64)
	if w.epochCapable && (err != nil || epoch < w.epoch) {
		return admission{}, w.refuse(worker.ReasonStaleEpoch)
	}
	if w.leaving {
		return admission{}, w.refuse(worker.ReasonLeaving)
	}
	a := admission{bootID: w.bootID, epoch: epoch, leavingStarted: w.leavingStarted, service: service, totalName: allSlots}
	var colocated []RunningTask
	for _, t := range w.runningTasks() {
		if t.Work != service || !t.answersRequests() {
			colocated = append(colocated, RunningTask{Fraction: t.throttleFraction, Kind: t.Kind, Task: t.Task, Work: t.Work})
			continue
		}
		a.task = t
		if t.Kind == note.KindFeed {
			a.totalName = allConnections
		}
	}
	if a.task == nil {
		return admission{}, w.refuse(worker.ReasonNoSuchService)
	}
	limit, reason := w.capacity.Slots, worker.ReasonNoFreeSlot
	if a.totalName == allConnections {
		limit, reason = w.capacity.Connections, worker.ReasonNoFreeConnection
	}
	if w.inUse[a.totalName] >= limit {
		// A request beyond the capacity violates an invariant of the scheduler, even though the worker refuses it.
		w.journal.addViolation("worker %s: request beyond its %d slots or connections", w.id, limit)
		return admission{}, w.refuse(reason)
	}
	if w.requestsByEpoch[service] == nil {
		w.requestsByEpoch[service] = map[int64]int{}
	}
	w.requestsByEpoch[service][a.epoch]++
	for _, name := range []string{service, a.totalName} {
		w.inUse[name]++
		w.peaks[name] = max(w.peaks[name], w.inUse[name])
	}
	if !w.failing {
		a.duration = time.Duration(float64(w.serviceTime(service, w.rng)) * w.interference(service, colocated))
	}
	w.journal.addExecution(Execution{
		ID: r.Header.Get(worker.HeaderRequestID), Key: r.Header.Get(worker.HeaderKey), Service: service, Worker: w.id,
	})
	return a, nil
}

// isTaskRunning reports whether the backend server that admitted the request still runs.
func (w *Worker) isTaskRunning(a admission) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return !w.stopped && w.bootID == a.bootID && !a.task.phase.IsEnd()
}

// abortIfTaskEnded aborts the connection of a request whose backend server has ended.
func (w *Worker) abortIfTaskEnded(a admission) {
	if !w.isTaskRunning(a) {
		panic(http.ErrAbortHandler)
	}
}

// release frees the slot or connection of a request, unless a restart has already done so.
func (w *Worker) release(a admission) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bootID != a.bootID {
		return
	}
	w.requestsByEpoch[a.service][a.epoch]--
	w.inUse[a.service]--
	w.inUse[a.totalName]--
	if a.totalName == allSlots {
		w.advance()
		w.serviceTimes[a.service] = append(w.serviceTimes[a.service], a.duration)
	}
}

// stream sends one event line per interval until the client disconnects, the worker is leaving or the feed's task ends.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, a admission) {
	tick := time.NewTicker(w.feedInterval)
	defer tick.Stop()
	send := func(line string) {
		_, _ = io.WriteString(rw, line+"\n")
		_ = http.NewResponseController(rw).Flush()
	}
	for n := 1; ; n++ {
		send(strings.Join([]string{"event", strconv.Itoa(n)}, " "))
		select {
		case <-r.Context().Done():
			return
		case <-a.leavingStarted:
			send(ReconnectLine)
			return
		case <-tick.C:
			w.abortIfTaskEnded(a)
		}
	}
}
