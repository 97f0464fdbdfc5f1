package host

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// partialStatus is the part of the fleet's status that one host reports.
type partialStatus struct {
	Host    laburnumridge.HostStatus     `json:"host"`
	Job     *laburnumridge.JobStatus     `json:"job,omitempty"`
	Peers   []laburnumridge.HostRevision `json:"peers,omitempty"`
	Shards  []laburnumridge.ShardStatus  `json:"shards,omitempty"`
	Teams   []laburnumridge.TeamStatus   `json:"teams,omitempty"`
	Workers []laburnumridge.WorkerStatus `json:"workers,omitempty"`
	Works   []laburnumridge.WorkStatus   `json:"works,omitempty"`
}

func (h *Host) status(ctx context.Context) (laburnumridge.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	parts, missing := h.peerStatuses(ctx, "")
	parts = append(parts, h.localStatus(ctx, ""))
	out := laburnumridge.Status{Unreachable: missing}
	hosts := h.hosts.snapshot()
	reachable := map[string]bool{}
	for _, p := range parts {
		reachable[p.Host.Zone] = true
		out.Hosts = append(out.Hosts, p.Host)
		out.Shards = append(out.Shards, p.Shards...)
		out.Teams = append(out.Teams, p.Teams...)
		out.Workers = append(out.Workers, p.Workers...)
		out.Works = append(out.Works, p.Works...)
	}
	for _, id := range missing {
		e, _ := hosts.Host(id)
		out.Hosts = append(out.Hosts, laburnumridge.HostStatus{ID: id, Zone: e.Zone})
	}
	for _, zone := range hosts.Zones() {
		out.Zones = append(out.Zones, laburnumridge.ZoneStatus{
			EntryHosts: len(hosts.EntryHosts(zone)), Name: zone, Reachable: reachable[zone], Workers: len(hosts.Workers(zone)),
		})
	}
	slices.SortFunc(out.Hosts, func(a, b laburnumridge.HostStatus) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(out.Shards, func(a, b laburnumridge.ShardStatus) int { return cmp.Compare(a.Shard, b.Shard) })
	slices.SortFunc(out.Workers, func(a, b laburnumridge.WorkerStatus) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(out.Works, func(a, b laburnumridge.WorkStatus) int {
		return cmp.Or(cmp.Compare(a.Work, b.Work), cmp.Compare(a.Zone, b.Zone))
	})
	return out, nil
}

// localStatus returns this host's part of the status. With a job id it holds only the status of that job, if one of
// the host's shards has it.
func (h *Host) localStatus(ctx context.Context, job string) partialStatus {
	out := partialStatus{Host: laburnumridge.HostStatus{
		Draining: h.isDraining(), ID: h.id, Reachable: true, Revision: h.notes.revision(), Zone: h.zone,
	}}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	for _, o := range h.shards.all() {
		part, err := callOwner(ctx, o, func(time.Time) partialStatus { return o.status(job) })
		if err != nil {
			continue // the status lacks the part of this owner
		}
		out.add(part)
	}
	if job != "" {
		return out
	}
	for id, s := range h.peers.all() {
		out.Peers = append(out.Peers, laburnumridge.HostRevision{
			AgeSeconds: time.Since(s.revisionSeen).Seconds(), Host: id, Reachable: time.Since(s.seen) < 3*heartbeatValidity,
			Revision: s.revision, Zone: s.hello.Zone,
		})
	}
	return out
}

// add adds the status of one shard.
func (p *partialStatus) add(o partialStatus) {
	if o.Job != nil {
		p.Job = o.Job
	}
	p.Shards = append(p.Shards, o.Shards...)
	p.Teams = append(p.Teams, o.Teams...)
	p.Workers = append(p.Workers, o.Workers...)
	p.Works = append(p.Works, o.Works...)
}

// status returns the status of the shard, or only that of a job if an id is given.
func (o *shardOwner) status(job string) partialStatus {
	var out partialStatus
	if job == "" {
		o.addStatus(&out)
	} else if s, ok := o.jobStatus(job); ok {
		out.Job = &s
	}
	return out
}

func (o *shardOwner) addStatus(out *partialStatus) {
	out.Shards = append(out.Shards, laburnumridge.ShardStatus{
		Epoch: o.epoch, Owner: o.host.id, Shard: o.id.String(), Zone: o.id.Zone,
	})
	reservations := o.ledger.Reservations()
	for _, w := range o.workers() {
		s := laburnumridge.WorkerStatus{
			Capacity: w.Capacity, ID: w.ID, Leaving: w.IsLeaving(), Rack: w.Rack,
			Quarantined: o.attribution.IsQuarantined(w.ID), Reserved: reservations[w.ID].Running, Zone: w.Zone,
		}
		switch {
		case s.Leaving:
			s.Reason = "leaving"
		case s.Quarantined:
			s.Reason = o.quarantineReasons[w.ID]
		case o.isClosedToBatch(w.ID):
			s.Reason = "takes no further batch work: slowdown of its services"
		}
		out.Workers = append(out.Workers, s)
	}
	o.addWorkStatuses(out)
}

func (o *shardOwner) addWorkStatuses(out *partialStatus) {
	works := map[string]*laburnumridge.WorkStatus{}
	used := map[string]fleet.Resources{}
	c, _ := o.host.notes.current()
	for _, item := range c.Items() {
		w := item.Work
		if w.Kind == note.KindTeam {
			continue
		}
		s := &laburnumridge.WorkStatus{Kind: string(w.Kind), Work: w.Name, Zone: o.id.Zone}
		// Replica i of a zone belongs to shard i modulo the number of shards.
		for i := range w.ReplicasPerZone {
			if i%o.host.shardCount(o.id.Zone) == o.id.Index {
				s.Replicas++
			}
		}
		works[w.Name] = s
	}
	for _, r := range o.ledger.Running() {
		if s := works[r.Job.Work]; s != nil {
			s.Running++
		}
		used[r.Job.Team] = used[r.Job.Team].Add(r.Job.Resources)
	}
	for _, c := range o.ledger.Bindable(time.Now()) {
		if s := works[c.Job.Work]; s != nil {
			s.Waiting++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(works)) {
		out.Works = append(out.Works, *works[name])
	}
	for _, team := range slices.Sorted(maps.Keys(used)) {
		if team != "" {
			out.Teams = append(out.Teams, laburnumridge.TeamStatus{
				Quota: o.quota(team), Team: team, Used: used[team], Zone: o.id.Zone,
			})
		}
	}
}

func (o *shardOwner) jobStatus(id string) (laburnumridge.JobStatus, bool) {
	rec, ok := o.ledger.State().Job(id)
	if !ok {
		return laburnumridge.JobStatus{}, false
	}
	out := laburnumridge.JobStatus{ID: id, Shard: o.id.String(), Work: rec.Job.Work, Zone: o.id.Zone}
	if rec.Parked {
		out.ParkedReason = rec.Reason
	}
	running := map[string]int{}
	for _, r := range o.ledger.Running() {
		running[r.Task] = r.Attempt
	}
	for _, task := range rec.Job.TaskIDs() {
		t, _ := o.ledger.State().Task(task)
		s := laburnumridge.TaskStatus{Attempt: t.Attempt, ID: task, Phase: laburnumridge.Phase(t.Phase.String()), Worker: t.Worker}
		if attempt, ok := running[task]; ok && !t.Phase.IsEnd() {
			s.Attempt, s.Phase = attempt, laburnumridge.PhaseRunning
		}
		countPhase(&out.Counts, s.Phase)
		out.Tasks = append(out.Tasks, s)
	}
	out.Phase = jobPhase(out.Counts, rec)
	return out, true
}

func countPhase(c *laburnumridge.PhaseCounts, p laburnumridge.Phase) {
	switch p {
	case laburnumridge.PhaseBound:
		c.Bound++
	case laburnumridge.PhaseCancelled:
		c.Cancelled++
	case laburnumridge.PhaseDone:
		c.Done++
	case laburnumridge.PhaseFailed:
		c.Failed++
	case laburnumridge.PhaseParked:
		c.Parked++
	case laburnumridge.PhaseQueued:
		c.Queued++
	case laburnumridge.PhaseRunning:
		c.Running++
	}
}

// jobPhase returns parked if the job is parked, otherwise the first of running, bound, queued, failed and cancelled
// that any of its tasks has, otherwise done.
func jobPhase(c laburnumridge.PhaseCounts, rec ledger.JobRecord) laburnumridge.Phase {
	switch {
	case rec.Parked:
		return laburnumridge.PhaseParked
	case c.Running > 0:
		return laburnumridge.PhaseRunning
	case c.Bound > 0:
		return laburnumridge.PhaseBound
	case c.Queued > 0:
		return laburnumridge.PhaseQueued
	case c.Failed > 0:
		return laburnumridge.PhaseFailed
	case c.Cancelled > 0:
		return laburnumridge.PhaseCancelled
	}
	return laburnumridge.PhaseDone
}
