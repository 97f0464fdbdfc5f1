package shard

import (
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/retrylimit"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// WithRetryObserver sets a function that counts failed runs, the starts that follow them, and returned tasks, by event.
func WithRetryObserver(observe func(retrylimit.Event)) Option {
	return func(o *Owner) { o.observeRetry = observe }
}

// failureFields describes the failed runs of a task as this shard knows them.
func (t *task) failureFields() logrus.Fields {
	fields := logrus.Fields{
		"job": t.job.ID, "task": t.key.String(), "failures": t.failures.Count(), "limit": t.job.queue.MaxAttempts, "role": "home",
	}
	if s := t.job.shared; s != nil {
		if s.isGuest {
			fields["role"] = "guest"
		}
		if tr := s.transfers[t.key]; tr != nil {
			fields["hop"] = tr.hop
		}
	}
	return fields
}

// reportStart counts a start, and logs it if runs of its task have failed.
func (o *Owner) reportStart(at *attempt) {
	t := at.task
	if t.step.LongRunning {
		return
	}
	o.observeRetry(retrylimit.StartEvent(t.failures.Count()))
	if t.failures.Count() == 0 {
		return
	}
	entry := o.log.WithFields(t.failureFields()).WithFields(logrus.Fields{"decision": "start_again", "run": at.run, "worker": at.worker.ID})
	if t.isExhausted() {
		o.observeRetry(retrylimit.StartBeyondLimit)
		entry.Error("starting a task that has reached its queue's limit of failed runs")
		return
	}
	entry.Info("starting a task again after failed runs")
}

// reportEndNotCounted logs a failed end that changes nothing.
func (o *Owner) reportEndNotCounted(w *worker, t *task, e EndRow, reason string) {
	if t.step.LongRunning {
		return
	}
	o.observeRetry(retrylimit.EndNotCounted)
	o.log.WithFields(t.failureFields()).WithFields(logrus.Fields{
		"decision": "ignore_end", "run": e.Run, "worker": w.ID, "born": w.life.Born(), "number": e.Number, "reason": reason,
	}).Info("failed end of a run is not counted")
}

// reportReturnIgnored logs a returned task that the home does not take back.
func (o *Owner) reportReturnIgnored(id string, guest int, h workflow.HeldTask, reason string) {
	o.observeRetry(retrylimit.ReturnIgnored)
	o.log.WithFields(logrus.Fields{
		"decision": "ignore_return", "job": id, "task": h.Record.Key.String(), "guest": guest, "hop": h.Hop, "failures": h.Record.Failures,
		"done": h.Record.Done, "reason": reason,
	}).Info("returned task is not taken back")
}
