package shard

import "time"

// waitReason returns the log field that counts a worker while a task waits: the first condition that the worker does not meet, or
// "suitable" if it meets all. CPU that short runs use is told apart from CPU that long-running tasks use, which none of them gives up. It
// returns "" for workers of other services.
func (o *Owner) waitReason(now time.Time, w *worker, t *task) string {
	need, free := reservation(t.step), w.Capacity.Sub(w.reserved)
	switch {
	case w.Service != t.job.queue.Service:
		return ""
	case !w.registered, w.Draining:
		return "leaving"
	case w.isEvacuated:
		return "evacuated"
	case w.isSilent():
		return "unreachable"
	case w.orphans > 0:
		return "unknown_runs"
	case !w.health.accepts(now):
		return "quarantined"
	case !w.HasLabel(t.step.Label):
		return "no_label"
	case !w.suitsStep(now, t):
		return "spread_limit"
	case t.isAdvisedAgainst(w):
		return "advised_against"
	case need.CPUMilli > w.Capacity.CPUMilli-w.longRunningCPU:
		return "no_cpu"
	case need.CPUMilli > free.CPUMilli:
		return "short_runs"
	case !w.reserved.Add(need).FitsIn(w.Capacity):
		return "no_memory"
	case w.isHeldFrom(now, t):
		return "held"
	}
	return o.policyReason(now, w, t)
}

// policyReason returns why a worker with room that no other task has a claim to does not take a task, or "suitable".
func (o *Owner) policyReason(now time.Time, w *worker, t *task) string {
	switch {
	case o.hasLateStart(now, t) && !t.mayRunBesideLateStart(w):
		return "late_start"
	case !o.headroomFor(now, t).allows(w, t.step.Resources.CPUMilli):
		return "headroom"
	case t.job.queue.Advice != nil && o.ticket(now, w, t) == "":
		return "no_ticket"
	case t.avoidWorker == w.ID:
		return "avoided"
	}
	if t.step.BestEffort {
		if _, isMild := o.bestEffortCost(w, t, w.bestEffortShare(o, t.step.Resources.CPUMilli)); !isMild {
			return "disturbed"
		}
	}
	return "suitable"
}
