package attribution

import (
	"fmt"
	"time"
)

const (
	// initialProbeDelay is the time from the quarantine to the first probe. Each failed probe doubles the delay.
	initialProbeDelay = 30 * time.Second
	maxProbeDelay     = 30 * time.Minute
	// probeTimeout is the time after which another probe may start if the outcome of the last one was not reported.
	probeTimeout = 10 * time.Minute
	// probeDelayResetAfter is the time since the last release after which the delay of a new quarantine starts at
	// initialProbeDelay again.
	probeDelayResetAfter = time.Hour
)

// IsQuarantined reports whether a worker is quarantined, which means that it runs no new tasks except probes.
func (a *Attributor) IsQuarantined(worker string) bool { return a.isQuarantined(worker) }

// MayProbe reports whether a single task may be started on a quarantined worker as a probe. The task should belong to a
// job that succeeds elsewhere (see IsGoodProbe).
func (a *Attributor) MayProbe(worker string, now time.Time) bool {
	w, ok := a.workers[worker]
	if !ok || !w.quarantined || a.policy == PolicyFixedBlacklist || now.Before(w.probeAt) {
		return false
	}
	return w.probeStartedAt.IsZero() || now.Sub(w.probeStartedAt) >= probeTimeout
}

// ProbeStarted records that a probe was started on a quarantined worker.
func (a *Attributor) ProbeStarted(worker string, now time.Time) {
	if w, ok := a.workers[worker]; ok && w.quarantined {
		w.probeStartedAt = now
	}
}

// IsGoodProbe reports whether the failure of a task of the job would be evidence against a worker. It is if the work
// rarely fails and the job has not failed on a healthy worker.
func (a *Attributor) IsGoodProbe(job, work string) bool {
	const maxFailureRate = 0.25
	if j, ok := a.jobs[job]; ok && (j.parkedReason != "" || len(a.failuresOnHealthyWorkers(j, "")) > 0) {
		return false
	}
	return a.workFailureRate(work, "") < maxFailureRate
}

func (a *Attributor) isQuarantined(worker string) bool {
	w, ok := a.workers[worker]
	return ok && w.quarantined
}

// recordProbeFailure extends the quarantine. Tasks that started before the quarantine are ignored, since they add no
// evidence. The probe delay is not doubled if the job also fails elsewhere.
func (a *Attributor) recordProbeFailure(o Outcome, w *workerRecord, j *jobRecord) []Decision {
	if !o.started().After(w.quarantinedAt) {
		return nil
	}
	w.probeStartedAt = time.Time{}
	reason := "a probe failed: " + o.Reason
	if !a.IsGoodProbe(o.Job, j.work) {
		reason = fmt.Sprintf("probe by job %s says nothing, since the job fails elsewhere", o.Job)
	} else {
		w.probeDelay = min(2*w.probeDelay, maxProbeDelay)
	}
	w.probeAt = o.At.Add(w.probeDelay)
	return []Decision{{Kind: KindExtend, Probe: w.probeAt, Reason: reason, Worker: o.Worker}}
}

func (w *workerRecord) quarantine(now time.Time) {
	if w.probeDelay > 0 && now.Sub(w.releasedAt) < probeDelayResetAfter {
		w.probeDelay = min(2*w.probeDelay, maxProbeDelay)
	} else {
		w.probeDelay = initialProbeDelay
	}
	w.quarantined, w.quarantinedAt, w.probeStartedAt = true, now, time.Time{}
	w.probeAt = now.Add(w.probeDelay)
	clear(w.failuresByJob)
}
