package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/workercall"
)

// lateHandover is what the last owner told after this one had taken the shard.
type lateHandover struct {
	at      time.Time
	workers []WorkerLease
}

// limit returns the bound for the leases that earlier owners granted to a worker, given the bound without what the last owner told.
// Its times count from when it was told, which was later than its last order. A worker that it did not name has no lease.
func (l *lateHandover) limit(worker string, bound workercall.Bound) workercall.Bound {
	if l == nil {
		return bound
	}
	left := time.Duration(0)
	if i := (Handover{Workers: l.workers}).indexOf(worker); i >= 0 {
		left = l.workers[i].Left
	}
	if end := l.at.Add(left); end.Before(bound.End) {
		return workercall.Bound{End: end, Origin: leaseFromHandover}
	}
	return bound
}

// InheritLate applies the leases of workers that the last owner told after this one had taken the shard. It may be called at any time,
// has no effect if a handover was inherited, and counts once.
func (o *Owner) InheritLate(now time.Time, h Handover) {
	if o.inherited != nil || o.told != nil {
		return
	}
	o.told = &lateHandover{at: now, workers: h.Workers}
	for _, w := range o.workers {
		if isFromTakeover(w.life.Inherited()) {
			w.life = w.life.WithInherited(o.told.limit(w.ID, w.life.Inherited()))
		}
	}
	o.log.WithFields(logrus.Fields{"decision": "inherit_late", "leases": len(h.Workers)}).
		Info("adopting what the last owner knew of the leases of workers, after the takeover")
}

// IsTold reports whether InheritLate has been called.
func (o *Owner) IsTold() bool { return o.told != nil }
