package note

import (
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Limits of an item's values. They catch mistakes such as a wrong unit.
const (
	maxCPUMilli  = 1_000_000
	maxMemoryMiB = 16 << 20
	maxPriority  = 9
	maxReplicas  = 1_000
	maxSlots     = 10_000
	maxDuration  = 366 * 24 * time.Hour
	minPeriod    = time.Second
)

// reservedNames can't be names of items, because the callers' listener serves these first path segments itself.
var reservedNames = []string{"healthz", "readyz", "v1"}

func (w Work) check() error {
	if !namePattern.MatchString(w.Name) {
		return invalid("name", "%q must match %s", w.Name, namePattern)
	}
	if slices.Contains(reservedNames, w.Name) {
		return invalid(w.Name, "is reserved: the callers' listener uses the path /%s", w.Name)
	}
	if !(w.Share >= 0 && w.Share <= 1) { // also true for NaN, which JSON can't encode
		return invalid(w.Name, "share %g must be from 0 to 1", w.Share)
	}
	if err := w.checkDurations(); err != nil {
		return err
	}
	switch w.Kind {
	case KindBatch:
		return w.checkBatch()
	case KindFeed, KindService:
		return w.checkService()
	case KindTeam:
		return w.checkTeam()
	}
	return invalid(w.Name, "kind %q must be one of service, feed, batch, team", w.Kind)
}

func (w Work) checkBatch() error {
	if err := w.checkResources(w.Resources); err != nil {
		return err
	}
	if w.RunTime.Duration <= 0 {
		return invalid(w.Name, "run_time must be above 0")
	}
	if w.Priority < 0 || w.Priority > maxPriority {
		return invalid(w.Name, "priority %d must be from 0 to %d", w.Priority, maxPriority)
	}
	if w.Every.Duration != 0 && w.Every.Duration < minPeriod {
		return invalid(w.Name, "every %s must be at least %s", w.Every, minPeriod)
	}
	if w.Resources.Slots != 0 || w.Resources.Connections != 0 {
		return invalid(w.Name, "a batch work takes neither slots nor connections")
	}
	if w.ReplicasPerZone != 0 || w.LatencyTarget.Duration != 0 || w.Share != 0 || w.Idempotent {
		return invalid(w.Name, "replicas_per_zone, latency_target, share and idempotent are for services")
	}
	return w.checkQuotaUnset()
}

func (w Work) checkDurations() error {
	for _, d := range []struct {
		key   string
		value Duration
	}{
		{"checkpoint_interval", w.CheckpointInterval},
		{"deadline", w.Deadline},
		{"every", w.Every},
		{"latency_target", w.LatencyTarget},
		{"run_time", w.RunTime},
	} {
		if d.value.Duration < 0 || d.value.Duration > maxDuration {
			return invalid(w.Name, "%s %s must be from 0 to %s", d.key, d.value, maxDuration)
		}
	}
	return nil
}

func (w Work) checkQuotaUnset() error {
	if w.Quota != (fleet.Resources{}) {
		return invalid(w.Name, "quota is for teams")
	}
	return nil
}

func (w Work) checkService() error {
	if err := w.checkResources(w.Resources); err != nil {
		return err
	}
	if w.ReplicasPerZone < 1 || w.ReplicasPerZone > maxReplicas {
		return invalid(w.Name, "replicas_per_zone %d must be from 1 to %d", w.ReplicasPerZone, maxReplicas)
	}
	if w.Kind == KindService && w.Resources.Slots < 1 {
		return invalid(w.Name, "a service needs at least one slot")
	}
	if w.Kind == KindFeed && w.Resources.Connections < 1 {
		return invalid(w.Name, "a feed needs at least one connection")
	}
	if w.RunTime.Duration != 0 || w.Every.Duration != 0 || w.CheckpointInterval.Duration != 0 ||
		w.Deadline.Duration != 0 || w.Priority != 0 {
		return invalid(w.Name, "run_time, every, checkpoint_interval, deadline and priority are for batch work")
	}
	return w.checkQuotaUnset()
}

func (w Work) checkResources(r fleet.Resources) error {
	if r.HasNegative() {
		return invalid(w.Name, "resources %s must not be below 0", r)
	}
	if r.CPUMilli == 0 || r.MemoryMiB == 0 {
		return invalid(w.Name, "cpu_milli and memory_mib must be above 0")
	}
	limit := fleet.Resources{
		Accelerators: maxSlots,
		Connections:  maxSlots,
		CPUMilli:     maxCPUMilli,
		MemoryMiB:    maxMemoryMiB,
		Slots:        maxSlots,
	}
	if !r.FitsIn(limit) {
		return invalid(w.Name, "resources %s exceed %s", r, limit)
	}
	return nil
}

func (w Work) checkTeam() error {
	if w.Quota.HasNegative() || w.Quota == (fleet.Resources{}) {
		return invalid(w.Name, "a team needs a quota of sizes above 0")
	}
	allowed := Work{Kind: w.Kind, Name: w.Name, Quota: w.Quota, Share: w.Share}
	if w != allowed {
		return invalid(w.Name, "a team takes only a quota and a share")
	}
	return nil
}
