package measure_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/measure"
)

// shortRun is the length of the runs. It is enough for the figures that these tests check, while runs of the full
// length take too long with the race detector.
const shortRun = 80 * time.Second

func run(t *testing.T, scenario, user string, length time.Duration, policies ...string) *measure.Report {
	t.Helper()
	r, err := measure.Run(scenario, measure.Options{Length: length, Policies: policies, Seeds: []uint64{1}, User: user})
	assert.NilError(t, err)
	return r
}

// Guards against figures that depend on map iteration order, goroutine scheduling or the wall clock, so that two runs
// with the same seed differ.
func TestSameSeedSameFigures(t *testing.T) {
	t.Parallel()
	for _, scenario := range []string{"restart-wave"} {
		a, err := json.Marshal(run(t, scenario, "retablo", shortRun, measure.Ours))
		assert.NilError(t, err)
		b, err := json.Marshal(run(t, scenario, "retablo", shortRun, measure.Ours))
		assert.NilError(t, err)
		assert.Equal(t, string(a), string(b), scenario)
	}
}

// Guards against simulations that don't distinguish policies: if bad workers cost a baseline no more than the scheduler,
// the aims hold whatever the decision code does.
func TestBaselinesAreWorse(t *testing.T) {
	t.Parallel()
	bad := run(t, "bad-workers", "retablo", shortRun, measure.Ours, "fixed_blacklist", "least_outstanding")
	assert.Assert(t, bad.Row("fixed_blacklist").Runs[0].TasksDone < bad.Row(measure.Ours).Runs[0].TasksDone)
	unanswered := func(policy string) int {
		n := 0
		for _, k := range bad.Row(policy).Runs[0].Works {
			n += k.Refused
		}
		return n
	}
	assert.Assert(t, unanswered("least_outstanding") > 10*unanswered(measure.Ours))
}

// Guards against misspelt scenarios, users and policies that are accepted and run something else.
func TestUnknownNames(t *testing.T) {
	for _, tc := range [][3]string{
		{"stedy", "kelaniya", measure.Ours}, {"steady", "kelanya", measure.Ours}, {"steady", "kelaniya", "best_fit"},
	} {
		_, err := measure.Run(tc[0], measure.Options{Policies: tc[2:], Seeds: []uint64{1}, User: tc[1]})
		assert.ErrorIs(t, err, measure.ErrUnknown)
	}
}
