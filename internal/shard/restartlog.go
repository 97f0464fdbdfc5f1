package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

// restart is what the owner logs of the next run of an interrupted task once its start is confirmed: where the time went between the
// last end of a run on the worker and this start.
type restart struct {
	// freeCPU is the unreserved CPU of the worker when it was chosen, in thousandths of a core.
	freeCPU int64
	// interruptedAt is since when the task waited; zero if that is not known.
	interruptedAt time.Time
	// lastEndAt is when the owner learned of the last end of a run on the worker; zero if it has seen none.
	lastEndAt time.Time
	// recordedAt is when the attempt was recorded.
	recordedAt time.Time
}

// noteRestart notes the state in which a worker is chosen for the next run of an interrupted task.
func (a *attempt) noteRestart(w *worker) {
	a.restart = &restart{
		freeCPU: w.Capacity.CPUMilli - w.reserved.CPUMilli, interruptedAt: a.task.waitingSince, lastEndAt: w.endKnownAt,
	}
}

func (r *restart) recorded(now time.Time) {
	if r != nil {
		r.recordedAt = now
	}
}

// logRestart logs the confirmed start of an attempt if it is the next run of an interrupted task.
func (o *Owner) logRestart(now time.Time, at *attempt) {
	r := at.restart
	if r == nil {
		return
	}
	at.restart = nil
	fields := logrus.Fields{
		"decision": "restart", "job": at.task.job.ID, "task": at.task.key.String(), "run": at.run, "worker": at.worker.ID,
		"cpu_milli": at.task.step.Resources.CPUMilli, "free_cpu_milli": r.freeCPU, "record_time": r.recordedAt.Sub(at.plannedAt).String(),
		"send_time": at.sentAt.Sub(r.recordedAt).String(), "answer_time": now.Sub(at.sentAt).String(),
	}
	if !r.interruptedAt.IsZero() {
		fields["waited"] = at.plannedAt.Sub(r.interruptedAt).String()
	}
	if !r.lastEndAt.IsZero() {
		fields["last_end_age"] = at.plannedAt.Sub(r.lastEndAt).String()
	}
	o.log.WithFields(fields).Info("an interrupted task runs again")
}
