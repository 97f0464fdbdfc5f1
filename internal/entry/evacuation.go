package entry

import "time"

// evacuationsChanged tells the owners of this host's shards which zones are evacuated.
func (o *ownedShards) evacuationsChanged() {
	for _, r := range o.allRunners() {
		r.applyEvacuations()
	}
}

// applyEvacuations tells the owner which zones are evacuated. The set is read with the owner locked, so that no call applies an older one
// after a newer one.
func (r *runner) applyEvacuations() {
	r.updateOwner(func(now time.Time) {
		r.owner.SetEvacuated(now, r.host.config.evacuations.Current())
		r.reportUnknownZones()
	})
}

// reportUnknownZones reports the evacuated zones of which the registry has no worker, as the runner of shard 0. The caller holds r.mu.
func (r *runner) reportUnknownZones() {
	if r.shard != 0 || r.appliedLayout == 0 {
		return
	}
	known := map[string]bool{}
	for _, w := range r.registry {
		known[w.Zone] = true
	}
	r.host.config.evacuations.ReportUnknown(known)
}
