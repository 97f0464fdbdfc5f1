package host

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/placement"
)

// startProbes binds one waiting task to each quarantined worker whose pause is over, to test whether the worker has
// recovered.
func (o *shardOwner) startProbes(now time.Time, workers []fleet.Host, candidates []ledger.Candidate) {
	for _, w := range workers {
		if !o.attribution.IsQuarantined(w.ID) || w.IsLeaving() || !o.attribution.MayProbe(w.ID, now) {
			continue
		}
		free := w.Capacity.Sub(o.ledger.Reserved(w.ID).Running)
		for _, c := range candidates {
			// An urgent task would lose time on a worker that is likely to fail it.
			if c.Job.IsLatencyCritical() || c.Job.Priority >= placement.UrgentPriority ||
				o.reservedOn[c.Task] != "" || !c.Job.Resources.FitsIn(free) ||
				!o.attribution.IsGoodProbe(c.Job.ID, c.Job.Work) {
				continue
			}
			if c.Worker != w.ID && o.ledger.Bind(c.Task, w.ID) != nil {
				continue
			}
			o.reservedOn[c.Task] = w.ID
			o.probes[c.Task] = w.ID
			o.attribution.ProbeStarted(w.ID, now)
			o.recordDecision(explain.Decision{
				Decision: "probe", Job: c.Job.ID, Reason: "the quarantined worker is tried with one task", Task: c.Task,
				Work: c.Job.Work, Worker: w.ID,
			})
			break
		}
	}
}
