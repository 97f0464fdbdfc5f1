package placement

import (
	"maps"
	"slices"
	"strings"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

type teamZone struct{ team, zone string }

// View is an immutable set of workers with the resources reserved by each team.
type View struct {
	// otherShards holds the resources that teams reserve in other shards of a zone; they count towards quotas.
	otherShards map[teamZone]fleet.Resources
	thisShard   map[teamZone]fleet.Resources
	workers     []*Worker
}

// NewView returns a view of the given workers, which must not be modified afterwards.
func NewView(workers ...Worker) View {
	v := View{thisShard: map[teamZone]fleet.Resources{}}
	for i := range workers {
		v.workers = append(v.workers, &workers[i])
		for _, h := range workers[i].Tasks {
			v.thisShard[teamZone{h.Team, workers[i].Zone}] = v.thisShard[teamZone{h.Team, workers[i].Zone}].Add(h.Resources)
		}
	}
	slices.SortFunc(v.workers, func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) })
	return v
}

// TeamReserved returns the resources that a team reserves in a zone, including those in other shards.
func (v View) TeamReserved(team, zone string) fleet.Resources {
	return v.thisShard[teamZone{team, zone}].Add(v.otherShards[teamZone{team, zone}])
}

// WithOtherShardReservation returns a view in which the team reserves r in the other shards of the zone.
func (v View) WithOtherShardReservation(team, zone string, r fleet.Resources) View {
	v.otherShards = maps.Clone(v.otherShards)
	if v.otherShards == nil {
		v.otherShards = map[teamZone]fleet.Resources{}
	}
	v.otherShards[teamZone{team, zone}] = r
	return v
}

// WithoutTask returns a view without the given task on the worker. An unknown worker or task changes nothing.
func (v View) WithoutTask(worker, task string) View {
	old, ok := v.Worker(worker)
	if !ok {
		return v
	}
	if next, held := old.WithoutTask(task); held {
		return v.replace(old, next)
	}
	return v
}

// WithTask returns a view in which t is reserved on the worker. An unknown worker changes nothing.
func (v View) WithTask(worker string, t PlacedTask) View {
	old, ok := v.Worker(worker)
	if !ok {
		return v
	}
	return v.replace(old, old.WithTask(t))
}

// WithWorker returns a view that contains w and no other worker of the same id.
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

// Worker returns the worker with the given id. It must not be modified.
func (v View) Worker(id string) (*Worker, bool) {
	i, ok := v.find(id)
	if !ok {
		return nil, false
	}
	return v.workers[i], true
}

// Workers returns all workers in id order. They must not be modified.
func (v View) Workers() []*Worker { return slices.Clone(v.workers) }

func (v View) find(id string) (int, bool) {
	return slices.BinarySearchFunc(v.workers, id, func(w *Worker, id string) int {
		return strings.Compare(w.ID, id)
	})
}

// replace substitutes next for old; either may be nil. The reservations of teams are updated incrementally, so
// the cost depends only on the tasks of these two workers.
func (v View) replace(old, next *Worker) View {
	v.thisShard = maps.Clone(v.thisShard)
	if old != nil {
		i, _ := v.find(old.ID)
		v.addTeamReservations(old, -1)
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
		v.addTeamReservations(next, 1)
	}
	return v
}

// addTeamReservations adds the reservations on w to those of the teams, or subtracts them if sign is -1.
func (v View) addTeamReservations(w *Worker, sign int64) {
	for _, h := range w.Tasks {
		key := teamZone{h.Team, w.Zone}
		v.thisShard[key] = v.thisShard[key].Add(h.Resources.Times(sign))
		if v.thisShard[key] == (fleet.Resources{}) {
			delete(v.thisShard, key)
		}
	}
}
