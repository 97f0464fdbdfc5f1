package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/operator"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

const queryTimeout = 2 * time.Second

var jobIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@:+-]{0,127}$`)

func (h *Host) operatorService() operator.Service {
	return operator.Service{
		Cancel:  h.cancelJob,
		Explain: h.explainID,
		InForce: h.inForce,
		Job:     h.jobStatus,
		Note: func(_ context.Context, id string) (laburnumridge.NoteDetail, error) {
			c, _ := h.notes.current()
			return operator.NoteDetailOf(c, id)
		},
		Notes: func(context.Context) ([]laburnumridge.PublishedNote, error) {
			c, _ := h.notes.current()
			var out []laburnumridge.PublishedNote
			for _, n := range c.Notes() {
				out = append(out, operator.PublishedNoteOf(n))
			}
			return out, nil
		},
		Plan:    h.plan,
		Publish: h.publish,
		Status:  h.status,
		Submit:  h.submit,
	}
}

func (h *Host) publish(ctx context.Context, n note.Note) (laburnumridge.PublishedNote, error) {
	p, err := h.notes.publish(ctx, n)
	if err != nil {
		h.decisions.Add(explain.Decision{Decision: "note_refuse", Note: n.ID, Reason: err.Error()})
		return laburnumridge.PublishedNote{}, err
	}
	return operator.PublishedNoteOf(p), nil
}

// plan returns what a note would change, and the items that would not fit the workers of a zone even if nothing else
// ran there.
func (h *Host) plan(_ context.Context, n note.Note) (laburnumridge.Plan, error) {
	c, _ := h.notes.current()
	p, err := operator.PlanOf(c, n)
	if err != nil {
		return p, err
	}
	hosts := h.hosts.snapshot()
	for _, w := range slices.Concat(n.Added, n.Changed) {
		if w.Kind == note.KindTeam {
			continue
		}
		for _, zone := range hosts.Zones() {
			if reason := unfitReason(w, hosts.Workers(zone)); reason != "" {
				p.Unfit = append(p.Unfit, laburnumridge.PlanUnfit{Item: w.Name, Reason: reason, Zone: zone})
			}
		}
	}
	return p, nil
}

// unfitReason returns why a workload can't run on the otherwise empty workers of a zone, or "" if it can.
func unfitReason(w note.Work, workers []fleet.Host) string {
	fitting := int64(0)
	for _, h := range workers {
		for need := w.Resources; need.FitsIn(h.Capacity) && fitting < int64(max(w.ReplicasPerZone, 1)); fitting++ {
			need = need.Add(w.Resources)
		}
	}
	switch {
	case len(workers) == 0:
		return "the zone has no worker"
	case fitting == 0:
		return fmt.Sprintf("%s exceeds every worker", w.Resources)
	case fitting < int64(w.ReplicasPerZone):
		return fmt.Sprintf("room for %d of %d replicas", fitting, w.ReplicasPerZone)
	}
	return ""
}

func (h *Host) inForce(_ context.Context, work string) (laburnumridge.InForce, error) {
	c, at := h.notes.current()
	out := laburnumridge.InForce{Revision: c.Revision()}
	if work != "" {
		w, err := operator.WorkInForceOf(c, work)
		if err != nil {
			return out, err
		}
		out.Work = w
	}
	out.Hosts = append(out.Hosts, laburnumridge.HostRevision{
		AgeSeconds: time.Since(at).Seconds(), Host: h.id, Reachable: true, Revision: c.Revision(), Zone: h.zone,
	})
	states := h.peers.all()
	for _, e := range h.hosts.snapshot().EntryHosts("") {
		if e.ID == h.id {
			continue
		}
		r := laburnumridge.HostRevision{Host: e.ID, Zone: e.Zone}
		if s, ok := states[e.ID]; ok {
			r.AgeSeconds, r.Revision = time.Since(s.revisionSeen).Seconds(), s.revision
			r.Reachable = time.Since(s.seen) < 3*heartbeatValidity
		}
		out.Hosts = append(out.Hosts, r)
	}
	h.fillUnreachable(&out)
	slices.SortFunc(out.Hosts, func(a, b laburnumridge.HostRevision) int {
		return slices.Compare([]string{a.Zone, a.Host}, []string{b.Zone, b.Host})
	})
	return out, nil
}

// fillUnreachable asks all other entry hosts which revisions their peers report, and fills these in for the hosts whose
// heartbeats are missing or old.
func (h *Host) fillUnreachable(out *laburnumridge.InForce) {
	missing := map[string]int{}
	for i, r := range out.Hosts {
		if !r.Reachable {
			missing[r.Host] = i
		}
	}
	if len(missing) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(h.ownerCtx, queryTimeout)
	defer cancel()
	parts, _ := h.peerStatuses(ctx, "")
	for _, p := range parts {
		for _, peerHost := range p.Peers {
			if i, ok := missing[peerHost.Host]; ok && peerHost.Reachable {
				out.Hosts[i] = peerHost
			}
		}
	}
}

func (h *Host) submit(ctx context.Context, spec laburnumridge.JobSpec) (laburnumridge.JobStatus, error) {
	c, _ := h.notes.current()
	item, ok := c.Item(spec.Work)
	switch {
	case !jobIDPattern.MatchString(spec.ID):
		return laburnumridge.JobStatus{}, eris.Wrapf(laburnumridge.ErrInvalid, "job id %q must match %s", spec.ID, jobIDPattern)
	case spec.Tasks < 1 || spec.Tasks > maxTasks:
		return laburnumridge.JobStatus{}, eris.Wrapf(laburnumridge.ErrInvalid, "tasks %d must be from 1 to %d", spec.Tasks, maxTasks)
	case !ok:
		return laburnumridge.JobStatus{}, eris.Wrapf(laburnumridge.ErrNotFound, "work %s is not in force", spec.Work)
	case item.Work.Kind != note.KindBatch:
		return laburnumridge.JobStatus{}, eris.Wrapf(laburnumridge.ErrInvalid, "work %s is a %s, not batch work", spec.Work, item.Work.Kind)
	}
	shard, err := h.chooseShard(spec.Zone, item.Work)
	if err != nil {
		return laburnumridge.JobStatus{}, err
	}
	rec, err := h.jobs.create(ctx, jobRecord{
		ID: spec.ID, Revision: c.Revision(), Shard: shard, SubmittedAt: time.Now().UTC(), Tasks: spec.Tasks, Work: spec.Work,
	})
	if errors.Is(err, errJobExists) {
		return laburnumridge.JobStatus{}, eris.Wrap(laburnumridge.ErrConflict, err.Error())
	}
	if err != nil {
		return laburnumridge.JobStatus{}, err
	}
	h.decisions.Add(explain.Decision{
		Decision: "accept_job", Job: rec.ID, Note: item.NoteID, Reason: "record is durable; shard " + rec.Shard.String(),
		Revision: item.ChangedRevision, Work: rec.Work, Zone: rec.Shard.Zone,
	})
	return queuedStatus(rec), nil
}

// chooseShard prefers shards with a worker that is large enough for a task; among these it picks the one with the
// highest percentage of unreserved CPU, with a small bonus for the local zone.
func (h *Host) chooseShard(zone string, w note.Work) (fleet.ShardID, error) {
	hosts := h.hosts.snapshot()
	zones := hosts.Zones()
	if zone != "" {
		if len(hosts.Workers(zone)) == 0 {
			return fleet.ShardID{}, eris.Wrapf(laburnumridge.ErrInvalid, "zone %q has no workers", zone)
		}
		zones = []string{zone}
	}
	var best fleet.ShardID
	bestScore := -1
	for _, z := range zones {
		for i := range h.shardCount(z) {
			id := fleet.ShardID{Index: i, Zone: z}
			workers := hosts.WorkersOf(id, h.shardCount(z))
			if len(workers) == 0 {
				continue
			}
			score := h.freePercentOf(id)
			if slices.ContainsFunc(workers, func(x fleet.Host) bool { return w.Resources.FitsIn(x.Capacity) }) {
				score += 1000 // a shard that can hold the task ranks above any that can't
			}
			if z == h.zone {
				score += 5 // the local zone can report on the job even while it is cut off
			}
			if score > bestScore {
				best, bestScore = id, score
			}
		}
	}
	if bestScore < 0 {
		return best, eris.Wrap(laburnumridge.ErrUnavailable, "the host list shows no workers")
	}
	return best, nil
}

func (h *Host) freePercentOf(id fleet.ShardID) int {
	if o, ok := h.shards.get(id); ok {
		return int(o.freePercent.Load())
	}
	if s, ok := h.shards.ownerOf(id); ok {
		return s.freePercent
	}
	return 0
}

func queuedStatus(rec jobRecord) laburnumridge.JobStatus {
	return laburnumridge.JobStatus{
		Counts: laburnumridge.PhaseCounts{Queued: rec.Tasks}, ID: rec.ID, Phase: laburnumridge.PhaseQueued,
		Shard: rec.Shard.String(), Work: rec.Work, Zone: rec.Shard.Zone,
	}
}

func (h *Host) cancelJob(ctx context.Context, id string) (laburnumridge.JobStatus, error) {
	if _, err := h.jobs.cancel(ctx, id); err != nil {
		if errors.Is(err, errJobNotFound) {
			return laburnumridge.JobStatus{}, eris.Wrap(laburnumridge.ErrNotFound, err.Error())
		}
		return laburnumridge.JobStatus{}, err
	}
	h.decisions.Add(explain.Decision{Decision: "cancel_job", Job: id, Reason: "asked for by a submitter"})
	return h.jobStatus(ctx, id)
}

// jobStatus asks the owner of the job's shard. If the owner does not answer, the job is reported as queued, from its
// jobRecord in the platform store.
func (h *Host) jobStatus(ctx context.Context, id string) (laburnumridge.JobStatus, error) {
	if s := h.localStatus(ctx, id); s.Job != nil {
		return *s.Job, nil
	}
	rec, ok := h.jobs.cached(id)
	if !ok {
		var err error
		if rec, _, err = h.jobs.read(ctx, id); errors.Is(err, errJobNotFound) {
			return laburnumridge.JobStatus{}, eris.Wrapf(laburnumridge.ErrNotFound, "job %s", id)
		} else if err != nil {
			return laburnumridge.JobStatus{}, err
		}
	}
	if owner, ok := h.shards.ownerOf(rec.Shard); ok {
		queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		if part, err := h.peerStatus(queryCtx, owner.host, id); err == nil && part.Job != nil {
			return *part.Job, nil
		}
	}
	return queuedStatus(rec), nil
}

func (h *Host) explainID(ctx context.Context, id string) (laburnumridge.Explanation, error) {
	out := laburnumridge.Explanation{Decisions: h.decisions.Find(id), ID: id}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, e := range h.hosts.snapshot().EntryHosts("") {
		if e.ID == h.id {
			continue
		}
		all.Go(func() {
			reply, err := h.requestPeer(ctx, e.ID, peer.Message{Explain: &peer.ExplainRequest{ID: id}})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || reply.ExplainReply == nil {
				out.Unreachable = append(out.Unreachable, e.ID)
				return
			}
			out.Decisions = append(out.Decisions, reply.ExplainReply.Decisions...)
		})
	}
	all.Wait()
	slices.Sort(out.Unreachable)
	slices.SortStableFunc(out.Decisions, func(a, b explain.Decision) int { return a.At.Compare(b.At) })
	return out, nil
}

// peerStatus returns a peer's part of the fleet's status.
func (h *Host) peerStatus(ctx context.Context, host, job string) (partialStatus, error) {
	var part partialStatus
	reply, err := h.requestPeer(ctx, host, peer.Message{Status: &peer.StatusRequest{Job: job}})
	if err != nil {
		return part, err
	}
	if reply.StatusReply == nil {
		return part, eris.Errorf("%s sent no status", host)
	}
	return part, eris.Wrap(json.Unmarshal(reply.StatusReply.Status, &part), "status")
}

// peerStatuses returns the partial statuses of all other entry hosts, and the ids of those that did not answer.
func (h *Host) peerStatuses(ctx context.Context, job string) (parts []partialStatus, missing []string) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, e := range h.hosts.snapshot().EntryHosts("") {
		if e.ID == h.id {
			continue
		}
		all.Go(func() {
			part, err := h.peerStatus(ctx, e.ID, job)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, e.ID)
				return
			}
			parts = append(parts, part)
		})
	}
	all.Wait()
	slices.Sort(missing)
	return parts, missing
}
