package placement

import (
	"maps"
	"slices"
	"strings"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

type teamZone struct{ team, zone string }

// View is an immutable set of workers with the reservations of each team.
type View struct {
	// elsewhere is what a team reserves in other shards of a zone.
	elsewhere map[teamZone]fleet.Resources
	teams     map[teamZone]fleet.Resources
	workers   []*Worker
}

// NewView returns a view of the given workers, which must not be modified afterwards.
func NewView(workers ...Worker) View {
	v := View{teams: map[teamZone]fleet.Resources{}}
	for i := range workers {
		v.workers = append(v.workers, &workers[i])
		for _, h := range workers[i].Tasks {
			v.teams[teamZone{h.Team, workers[i].Zone}] = v.teams[teamZone{h.Team, workers[i].Zone}].Add(h.Resources)
		}
	}
	slices.SortFunc(v.workers, func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) })
	return v
}

// TeamReserved returns what a team reserves in a zone, other shards included.
func (v View) TeamReserved(team, zone string) fleet.Resources {
	return v.teams[teamZone{team, zone}].Add(v.elsewhere[teamZone{team, zone}])
}

// WithElsewhere returns a view in which a team reserves r in other shards of the zone.
func (v View) WithElsewhere(team, zone string, r fleet.Resources) View {
	v.elsewhere = maps.Clone(v.elsewhere)
	if v.elsewhere == nil {
		v.elsewhere = map[teamZone]fleet.Resources{}
	}
	v.elsewhere[teamZone{team, zone}] = r
	return v
}

// WithEnded returns a view without the task on the worker; an unknown task changes nothing.
func (v View) WithEnded(worker, task string) View {
	old, ok := v.Worker(worker)
	if !ok {
		return v
	}
	if next, held := old.WithoutTask(task); held {
		return v.replace(old, next)
	}
	return v
}

// WithPlaced returns a view in which the worker also holds t; an unknown worker changes nothing.
func (v View) WithPlaced(worker string, t Held) View {
	old, ok := v.Worker(worker)
	if !ok {
		return v
	}
	return v.replace(old, old.WithTask(t))
}

// WithWorker returns a view with w in place of the worker of the same id, or in addition.
func (v View) WithWorker(w Worker) View {
	old, _ := v.Worker(w.ID)
	return v.replace(old, &w)
}

// WithoutWorker returns a view without the worker.
func (v View) WithoutWorker(id string) View {
	old, ok := v.Worker(id)
	if !ok {
		return v
	}
	return v.replace(old, nil)
}

// Worker returns a worker by id; it must not be modified.
func (v View) Worker(id string) (*Worker, bool) {
	i, ok := v.find(id)
	if !ok {
		return nil, false
	}
	return v.workers[i], true
}

// Workers returns all workers by id; they must not be modified.
func (v View) Workers() []*Worker { return slices.Clone(v.workers) }

func (v View) find(id string) (int, bool) {
	return slices.BinarySearchFunc(v.workers, id, func(w *Worker, id string) int {
		return strings.Compare(w.ID, id)
	})
}

// replace exchanges old for next, either of which may be nil. The sums of the teams change by the
// difference, so that the cost does not grow with the number of tasks.
func (v View) replace(old, next *Worker) View {
	v.teams = maps.Clone(v.teams)
	if old != nil {
		i, _ := v.find(old.ID)
		v.addTeams(old, -1)
		v.workers = slices.Clone(v.workers)
		if next != nil && next.ID == old.ID {
			v.workers[i] = next
		} else {
			v.workers = slices.Delete(v.workers, i, i+1)
		}
	} else if next != nil {
		i, _ := v.find(next.ID)
		v.workers = slices.Insert(slices.Clone(v.workers), i, next)
	}
	if next != nil {
		v.addTeams(next, 1)
	}
	return v
}

func (v View) addTeams(w *Worker, sign int64) {
	for _, h := range w.Tasks {
		key := teamZone{h.Team, w.Zone}
		v.teams[key] = v.teams[key].Add(h.Resources.Times(sign))
		if v.teams[key] == (fleet.Resources{}) {
			delete(v.teams, key)
		}
	}
}
