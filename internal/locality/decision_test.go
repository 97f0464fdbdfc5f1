package locality_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/locality"
)

func cores(n int64) fleet.Resources { return fleet.Resources{CPUMilli: 1000 * n} }

// fullWorker is a worker of 4 cores whose runs of 2 cores end after the given times.
func fullWorker(id string, remaining ...time.Duration) locality.Worker {
	w := locality.Worker{ID: id}
	for _, r := range remaining {
		w.Runs = append(w.Runs, locality.Run{Demand: cores(2), Remaining: r})
	}
	return w
}

// task returns a task of which each of some workers takes as many as the limit says.
func task(limit int, workers ...string) locality.Task {
	t := locality.Task{Demand: cores(2), Duration: time.Second, Limits: map[string]int{}}
	for _, id := range workers {
		t.Limits[id] = limit
	}
	return t
}

// Guards against a forecast that gives the same room to two tasks, that counts on room within the time of another task, or on more tasks on a
// worker than it may hold.
func TestForecastGivesRoomOnce(t *testing.T) {
	f := locality.NewForecast([]locality.Worker{fullWorker("a", 200*time.Millisecond, 700*time.Millisecond), fullWorker("b", locality.Never, 300*time.Millisecond)})
	starts, rest := f.Place(task(9, "a", "b"), 5, 2*time.Second)
	assert.DeepEqual(t, starts, []time.Duration{200e6, 300e6, 700e6, 1200e6, 1300e6})
	starts, _ = rest.Place(task(9, "a", "b"), 1, 2*time.Second)
	assert.DeepEqual(t, starts, []time.Duration{1700e6})
	starts, _ = f.Place(task(9, "a", "b"), 5, 400*time.Millisecond)
	assert.Equal(t, len(starts), 2, "the horizon holds")
	starts, _ = f.Place(task(1, "a", "b"), 5, 2*time.Second)
	assert.DeepEqual(t, starts, []time.Duration{200e6, 300e6})
}

// Guards against limits that count for other workers than those they were made for, and against a panic: workers leave, and others come, between
// the forecast and a later step of the same round.
func TestLimitsBelongToTheirWorkers(t *testing.T) {
	f := locality.NewForecast([]locality.Worker{fullWorker("a", 200*time.Millisecond), fullWorker("b", 100*time.Millisecond)})
	starts, _ := f.Place(task(9, "a"), 3, time.Second)
	assert.DeepEqual(t, starts, []time.Duration{200e6})
	starts, _ = f.Place(task(9, "c", "a"), 3, time.Second)
	assert.DeepEqual(t, starts, []time.Duration{200e6})
	at, _, ok := f.PlaceGroup(task(1, "c", "a"), 1, time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, at, 200*time.Millisecond)
}

// Guards against a group that is expected to start before all of it has room at the same time.
func TestForecastPlacesGroupAtOnce(t *testing.T) {
	f := locality.NewForecast([]locality.Worker{fullWorker("a", 200*time.Millisecond, 700*time.Millisecond), fullWorker("b", locality.Never, 300*time.Millisecond)})
	at, rest, ok := f.PlaceGroup(task(9, "a", "b"), 3, time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, at, 700*time.Millisecond)
	_, _, ok = rest.PlaceGroup(task(9, "a", "b"), 2, time.Second)
	assert.Assert(t, !ok, "the room is taken")
	_, _, ok = f.PlaceGroup(task(9, "a", "b"), 4, time.Hour)
	assert.Assert(t, !ok, "a run never ends")
}

// Guards against waits that gain nothing, that last longer than what they gain, or that miss an objective which a start elsewhere meets.
func TestDecisionWeighsGainAgainstWait(t *testing.T) {
	for name, k := range map[string]struct {
		change func(*locality.Question)
		reason locality.Reason
		limit  time.Duration
	}{
		"room is due":            {func(*locality.Question) {}, locality.ReasonPays, 1500 * time.Millisecond},
		"has waited":             {func(q *locality.Question) { q.Waited = 600 * time.Millisecond }, locality.ReasonPays, 900 * time.Millisecond},
		"gain is used up":        {func(q *locality.Question) { q.Waited = 1500 * time.Millisecond }, locality.ReasonTooLong, 0},
		"factor 1":               {func(q *locality.Question) { q.Factor = 1 }, locality.ReasonNoGain, 0},
		"duration not known":     {func(q *locality.Question) { q.Duration = 0 }, locality.ReasonUnknownDuration, 0},
		"no reports":             {func(q *locality.Question) { q.HasForecast = false }, locality.ReasonNoForecast, 0},
		"objective limits":       {func(q *locality.Question) { q.ToObjective = 3600 * time.Millisecond }, locality.ReasonPays, 1100 * time.Millisecond},
		"objective near":         {func(q *locality.Question) { q.ToObjective = 2600 * time.Millisecond }, locality.ReasonObjectiveNear, 0},
		"elsewhere is too late":  {func(q *locality.Question) { q.ToObjective = 2 * time.Second }, locality.ReasonOnlyLocalInTime, time.Second},
		"both are too late":      {func(q *locality.Question) { q.ToObjective = 900 * time.Millisecond }, locality.ReasonLate, 0},
		"no room near the data":  {func(q *locality.Question) { q.Starts = func(time.Duration) []time.Duration { return nil } }, locality.ReasonTooLong, 0},
		"longer than it is sure": {func(q *locality.Question) { q.Duration = 400 * time.Millisecond }, locality.ReasonTooLong, 0},
	} {
		q := locality.Question{
			Count: 1, Duration: time.Second, Factor: 2.5, HasForecast: true, ToObjective: time.Hour,
			Starts: func(horizon time.Duration) []time.Duration {
				if horizon < 300*time.Millisecond {
					return nil
				}
				return []time.Duration{300 * time.Millisecond}
			},
		}
		k.change(&q)
		d := locality.Decide(q)
		assert.Equal(t, d.Reason, k.reason, name)
		assert.Equal(t, d.Limit, k.limit, name)
		assert.Equal(t, d.Waits() > 0, k.limit > 0, name)
	}
}

// Guards against a run that is late and counts as about to end, and against one of unknown duration that counts as ending.
func TestLateRunIsExpectedToTakeLonger(t *testing.T) {
	assert.Equal(t, locality.Remaining(time.Second, 900*time.Millisecond), 200*time.Millisecond)
	assert.Equal(t, locality.Remaining(time.Second, 3*time.Second), 2100*time.Millisecond)
	assert.Equal(t, locality.Remaining(0, time.Second), locality.Never)
}
