package placement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/placement"
)

// Guards against a batch task that takes the first free capacity next to a service that it slows down, against a
// batch task that waits forever because it slows down all services, and against urgent tasks that wait.
func TestPlaceLimitsSlowdown(t *testing.T) {
	full := withTasks(placement.PlacedTask{Task: batch("old", 9, size(32, 1))})
	slowdownOn := func(workers ...string) placement.PlacerOption {
		return placement.WithSlowdown(func(w *placement.Worker, t *placement.Task) float64 {
			for _, id := range workers {
				if w.ID == id && t.Work == "plan" {
					return 2
				}
			}
			return 1.4
		})
	}
	v := placement.NewView(worker(0), worker(1, full))
	d, err := placement.New(slowdownOn("w000")).Place(v, batch("t", 0, size(1, 1)))
	assert.ErrorIs(t, err, placement.ErrNoRoom)
	assert.Equal(t, d.Candidates[0].Rejection, placement.RejectedSlowdown)
	d, err = placement.New(slowdownOn("w000", "w001")).Place(v, batch("t", 0, size(1, 1)))
	assert.NilError(t, err)
	assert.Equal(t, d.Worker, "w000")
	d, err = placement.New(slowdownOn("w000")).Place(v, batch("t", 9, size(1, 1)))
	assert.NilError(t, err)
	assert.Equal(t, d.Worker, "w000")
}
