package attribution

import (
	"fmt"
	"time"
)

const (
	// firstPause is the time from a quarantine to its first probe; each failed probe doubles it.
	firstPause = 30 * time.Second
	maxPause   = 30 * time.Minute
	// probeTimeout is when a probe whose outcome was lost makes way for another one.
	probeTimeout = 10 * time.Minute
	// relapse is the time after a release in which the pause continues to grow.
	relapse = time.Hour
)

// IsQuarantined reports whether a worker takes no tasks but probes.
func (a *Attributor) IsQuarantined(worker string) bool { return a.isQuarantined(worker) }

// MayProbe reports whether a single task may be started on a quarantined worker. The task should be of a
// job that did well elsewhere (see IsGoodProbe).
func (a *Attributor) MayProbe(worker string, now time.Time) bool {
	w, ok := a.workers[worker]
	if !ok || !w.quarantined || a.policy == PolicyFixedBlacklist || now.Before(w.probeAt) {
		return false
	}
	return w.probing.IsZero() || now.Sub(w.probing) >= probeTimeout
}

// ProbeStarted records that a probe was started on a quarantined worker.
func (a *Attributor) ProbeStarted(worker string, now time.Time) {
	if w, ok := a.workers[worker]; ok && w.quarantined {
		w.probing = now
	}
}

// IsGoodProbe reports whether the failure of a task of the job would say something about a worker: its
// work mostly succeeds, and the job has not failed on a healthy worker.
func (a *Attributor) IsGoodProbe(job, work string) bool {
	const usual = 0.25
	if j, ok := a.jobs[job]; ok && (j.parked != "" || len(a.provenFailures(j, "")) > 0) {
		return false
	}
	return a.workRate(work, "") < usual
}

func (a *Attributor) isQuarantined(worker string) bool {
	w, ok := a.workers[worker]
	return ok && w.quarantined
}

// observeProbeFailure extends the quarantine. Tasks that started before the quarantine say nothing new,
// and the failure of a job that fails elsewhere, too, does not let the pause grow.
func (a *Attributor) observeProbeFailure(o Outcome, w *workerRecord, j *jobRecord) []Decision {
	if !o.started().After(w.since) {
		return nil
	}
	w.probing = time.Time{}
	why := "a probe failed: " + o.Reason
	if !a.IsGoodProbe(o.Job, j.work) {
		why = fmt.Sprintf("probe by job %s says nothing, since the job fails elsewhere", o.Job)
	} else {
		w.pause = min(2*w.pause, maxPause)
	}
	w.probeAt = o.At.Add(w.pause)
	return []Decision{{Kind: KindExtend, Probe: w.probeAt, Reason: why, Worker: o.Worker}}
}

func (w *workerRecord) quarantine(now time.Time) {
	if w.pause > 0 && now.Sub(w.releasedAt) < relapse {
		w.pause = min(2*w.pause, maxPause)
	} else {
		w.pause = firstPause
	}
	w.quarantined, w.since, w.probing = true, now, time.Time{}
	w.probeAt = now.Add(w.pause)
	clear(w.failing)
}
