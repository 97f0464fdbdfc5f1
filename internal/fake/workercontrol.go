package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/worker"
)

func (w *Worker) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+worker.PathCheckpoint, controlHandler(w, w.checkpointTask))
	mux.HandleFunc("POST "+worker.PathFence, controlHandler(w, w.fence))
	mux.HandleFunc("POST "+worker.PathHeartbeat, controlHandler(w, w.heartbeat))
	mux.HandleFunc("POST "+worker.PathStart, controlHandler(w, w.startTask))
	mux.HandleFunc("POST "+worker.PathStop, controlHandler(w, w.stopTask))
	mux.HandleFunc("POST "+worker.PathThrottle, controlHandler(w, w.throttleTask))
	mux.HandleFunc(worker.PathServe+"{service}/{path...}", w.serveRequest)
	return mux
}

// controlHandler decodes a call, lets act handle it under mu, and encodes the result, or a Refusal with status 409.
func controlHandler[In, Out any](w *Worker, act func(In) (Out, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var in In
		invalid := json.NewDecoder(r.Body).Decode(&in)
		w.mu.Lock()
		w.advance()
		var out any
		var err error
		if invalid != nil {
			err = w.refuse(worker.ReasonInvalid)
		} else {
			out, err = act(in)
		}
		w.mu.Unlock()
		// Headers that the client doesn't read are left out to save bytes: most control traffic is heartbeats.
		rw.Header()["Content-Type"] = nil
		rw.Header()["Date"] = nil
		if err != nil {
			out = err
			rw.WriteHeader(http.StatusConflict)
		}
		data, _ := json.Marshal(out)
		_, _ = rw.Write(data)
	}
}

// runningAttempt returns the attempt that a call names, or a Refusal if the epoch or the attempt is stale or the task
// doesn't run.
func (w *Worker) runningAttempt(ref worker.AttemptRef, epoch int64) (*task, error) {
	if err := w.checkEpoch(epoch); err != nil {
		return nil, err
	}
	t, ok := w.tasks[ref.Task]
	if !ok || t.phase.IsEnd() {
		return nil, w.refuse(worker.ReasonNoSuchTask)
	}
	if t.Attempt != ref.Attempt {
		return nil, w.refuse(worker.ReasonStaleAttempt)
	}
	return t, nil
}

func (w *Worker) checkEpoch(epoch int64) error {
	switch {
	case !w.epochCapable || epoch == w.epoch:
		return nil
	case epoch < w.epoch:
		return w.refuse(worker.ReasonStaleEpoch)
	}
	return w.refuse(worker.ReasonNotFenced)
}

// checkToken returns the stamp with which a token was issued. It refuses tokens of an earlier boot and those that are
// as old as the lease of tasks.
func (w *Worker) checkToken(token string) (int64, error) {
	boot, stamp, _ := strings.Cut(token, ".")
	issued, err := strconv.ParseInt(stamp, 36, 64)
	age := w.now().Sub(time.UnixMicro(issued))
	if err != nil || boot != w.bootID || issued > w.lastStamp || age >= w.lease {
		return 0, w.refuse(worker.ReasonTokenExpired)
	}
	return issued, nil
}

func (w *Worker) checkpointTask(in worker.CheckpointRequest) (worker.Task, error) {
	t, err := w.runningAttempt(in.AttemptRef, in.Epoch)
	if err != nil {
		return worker.Task{}, err
	}
	t.checkpoint, t.changeStamp = t.progress, w.nextStamp()
	return t.toWire(), nil
}

func (w *Worker) fence(in worker.FenceRequest) (worker.Report, error) {
	if w.epochCapable {
		// An epoch has one owner only, so a second owner with the installed epoch is refused as well.
		if in.Epoch < w.epoch || in.Epoch == w.epoch && w.owner != "" && in.Owner != w.owner {
			return worker.Report{}, w.refuse(worker.ReasonStaleEpoch)
		}
		w.epoch, w.owner = in.Epoch, in.Owner
	}
	return w.report(0, true), nil
}

func (w *Worker) heartbeat(in worker.HeartbeatRequest) (worker.Report, error) {
	if err := w.checkEpoch(in.Epoch); err != nil {
		return worker.Report{}, err
	}
	since, err := w.checkToken(in.Token)
	if err != nil {
		return worker.Report{}, err
	}
	for _, ref := range in.Acks {
		if t, ok := w.tasks[ref.Task]; ok && t.Attempt == ref.Attempt && t.phase.IsEnd() {
			delete(w.tasks, ref.Task)
		}
	}
	for _, t := range w.runningTasks() {
		t.leaseEnd = w.now().Add(w.lease)
	}
	return w.report(since, in.Full), nil
}

func (w *Worker) refuse(reason worker.Reason) error {
	w.refusals[reason]++
	return worker.Refusal{Epoch: w.epoch, Reason: reason}
}

func (w *Worker) startTask(in worker.StartRequest) (worker.Task, error) {
	if err := w.checkEpoch(in.Epoch); err != nil {
		return worker.Task{}, err
	}
	if _, err := w.checkToken(in.Token); err != nil {
		return worker.Task{}, err
	}
	if in.Attempt <= w.lastAttempt[in.Task] {
		w.refusals[worker.ReasonStaleAttempt]++
		return worker.Task{}, worker.Refusal{
			Attempt: w.lastAttempt[in.Task], Epoch: w.epoch, Reason: worker.ReasonStaleAttempt,
		}
	}
	if old, ok := w.tasks[in.Task]; ok && !old.phase.IsEnd() {
		return worker.Task{}, w.refuse(worker.ReasonTaskRunning)
	}
	if w.leaving {
		return worker.Task{}, w.refuse(worker.ReasonLeaving)
	}
	if need := w.reserved().Add(in.Resources); !need.FitsIn(w.capacity) {
		// A start beyond the capacity violates an invariant of the scheduler, even though the worker refuses it.
		w.journal.addViolation("worker %s: start of task %s needs %s in total, capacity is %s", w.id, in.Task, need, w.capacity)
		return worker.Task{}, w.refuse(worker.ReasonNoCapacity)
	}
	progress := time.Duration(in.Checkpoint) * time.Millisecond
	now := w.now()
	t := &task{
		StartRequest: in, advancedTo: now, changeStamp: w.nextStamp(), checkpoint: progress, throttleFraction: 1,
		leaseEnd: now.Add(w.lease), phase: worker.PhaseRunning, profile: w.profile(in), progress: progress,
		runIndex: w.journal.startRun(Run{Attempt: in.Attempt, Task: in.Task, Work: in.Work, Worker: w.id}),
	}
	if w.failing {
		t.failsAt = now.Add(failureDelay)
	}
	w.lastAttempt[in.Task], w.tasks[in.Task] = in.Attempt, t
	return t.toWire(), nil
}

func (w *Worker) stopTask(in worker.StopRequest) (worker.Task, error) {
	if err := w.checkEpoch(in.Epoch); err != nil {
		return worker.Task{}, err
	}
	if in.Attempt < w.lastAttempt[in.Task] {
		return worker.Task{}, w.refuse(worker.ReasonStaleAttempt)
	}
	w.lastAttempt[in.Task] = in.Attempt
	phase := worker.PhaseCancelled
	if in.Checkpoint {
		phase = worker.PhaseEvicted
	}
	t, ok := w.tasks[in.Task]
	if !ok {
		return worker.Task{AttemptRef: in.AttemptRef, Phase: phase, Reason: ReasonNotStarted}, nil
	}
	if !t.phase.IsEnd() {
		if in.Checkpoint {
			t.checkpoint = t.progress
		}
		w.endTask(t, phase, "stopped")
	}
	return t.toWire(), nil
}

func (w *Worker) throttleTask(in worker.ThrottleRequest) (worker.Task, error) {
	t, err := w.runningAttempt(in.AttemptRef, in.Epoch)
	if err != nil {
		return worker.Task{}, err
	}
	if in.Fraction <= 0 || in.Fraction > 1 {
		return worker.Task{}, w.refuse(worker.ReasonInvalid)
	}
	t.throttleFraction = in.Fraction
	return t.toWire(), nil
}
