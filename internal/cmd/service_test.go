package cmd_test

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/operator"
	lr "github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// memoryService implements the operators' interface of an entry host in memory, without a store or workers.
type memoryService struct {
	catalogue note.Catalogue
	jobs      map[string]lr.JobStatus
	mu        sync.Mutex
}

func newService() operator.Service {
	m := &memoryService{jobs: map[string]lr.JobStatus{}}
	return operator.Service{
		Cancel: func(_ context.Context, id string) (lr.JobStatus, error) {
			return m.job(id, func(j *lr.JobStatus) { j.Phase, j.Counts = lr.PhaseCancelled, lr.PhaseCounts{Cancelled: 2} })
		},
		Explain: explain,
		InForce: m.inForce,
		Job: func(_ context.Context, id string) (lr.JobStatus, error) {
			return m.job(id, func(*lr.JobStatus) {})
		},
		Note: func(_ context.Context, id string) (lr.NoteDetail, error) {
			return operator.NoteDetailOf(m.catalogue, id)
		},
		Notes: m.notes,
		Plan: func(_ context.Context, n note.Note) (lr.Plan, error) {
			return operator.PlanOf(m.catalogue, n)
		},
		Publish: m.publish,
		Status:  status,
		Submit:  m.submit,
	}
}

func (m *memoryService) inForce(_ context.Context, work string) (lr.InForce, error) {
	in := lr.InForce{
		Hosts:    []lr.HostRevision{{AgeSeconds: 1.5, Host: "entry-1", Reachable: true, Revision: m.catalogue.Revision(), Zone: "wattala"}},
		Revision: m.catalogue.Revision(),
	}
	if work == "" {
		return in, nil
	}
	var err error
	in.Work, err = operator.WorkInForceOf(m.catalogue, work)
	return in, err
}

func (m *memoryService) job(id string, change func(*lr.JobStatus)) (lr.JobStatus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j, ok := m.jobs[id]
	if !ok {
		return j, eris.Wrapf(lr.ErrNotFound, "job %s", id)
	}
	change(&j)
	m.jobs[id] = j
	return j, nil
}

func (m *memoryService) notes(context.Context) ([]lr.PublishedNote, error) {
	var out []lr.PublishedNote
	for _, p := range m.catalogue.Notes() {
		out = append(out, operator.PublishedNoteOf(p))
	}
	return out, nil
}

func (m *memoryService) publish(_ context.Context, n note.Note) (lr.PublishedNote, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.catalogue.FindDuplicate(n); ok {
		return operator.PublishedNoteOf(p), nil
	}
	next, err := m.catalogue.Apply(n)
	if err != nil {
		return lr.PublishedNote{}, err
	}
	m.catalogue = next
	p, _ := next.Note(n.ID)
	return operator.PublishedNoteOf(p), nil
}

func (m *memoryService) submit(_ context.Context, spec lr.JobSpec) (lr.JobStatus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if spec.Work == "parked" {
		return lr.JobStatus{ID: spec.ID, ParkedReason: "fits no worker", Phase: lr.PhaseParked, Work: spec.Work}, nil
	}
	m.jobs[spec.ID] = lr.JobStatus{
		Counts: lr.PhaseCounts{Queued: 1, Running: 1}, ID: spec.ID, Phase: lr.PhaseRunning, Shard: "wattala/0",
		Tasks: []lr.TaskStatus{
			{Attempt: 2, ID: spec.ID + "/0", Phase: lr.PhaseRunning, Worker: "worker-7"},
			{ID: spec.ID + "/1", Phase: lr.PhaseQueued},
		},
		Work: spec.Work, Zone: spec.Zone,
	}
	return m.jobs[spec.ID], nil
}

func explain(_ context.Context, id string) (lr.Explanation, error) {
	e := lr.Explanation{ID: id, Unreachable: []string{"entry-2"}}
	if id == "plan-1/0" {
		e.Decisions = []lr.Decision{{
			At: time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC), Attempt: 1, Decision: "place", Host: "entry-1",
			Options: []string{"worker-8: leaving"}, Reason: "best fit", Task: id, Worker: "worker-7",
		}}
	}
	return e, nil
}

func status(context.Context) (lr.Status, error) {
	capacity := fleet.Resources{CPUMilli: 32000, Slots: 8}
	return lr.Status{
		Hosts:  []lr.HostStatus{{ID: "entry-1", Reachable: true, Revision: 3, Zone: "wattala"}},
		Shards: []lr.ShardStatus{{Epoch: 4, Owner: "entry-1", Shard: "wattala/0", Zone: "wattala"}},
		Teams:  []lr.TeamStatus{{Quota: capacity, Team: "room-control", Used: fleet.Resources{Slots: 2}, Zone: "wattala"}},
		Workers: []lr.WorkerStatus{
			{Capacity: capacity, ID: "worker-7", Reserved: fleet.Resources{Slots: 2}, Zone: "wattala"},
			{Capacity: capacity, ID: "worker-8", Quarantined: true, Reason: "5 of 5 starts failed", Zone: "wattala"},
		},
		Works: []lr.WorkStatus{{Kind: "service", Replicas: 3, Running: 2, Waiting: 1, Work: "dosing-checks", Zone: "wattala"}},
		Zones: []lr.ZoneStatus{{EntryHosts: 2, Name: "wattala", Reachable: true, Workers: 2}},
	}, nil
}
