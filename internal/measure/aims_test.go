//go:build !race

package measure_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/knownred"
	"github.com/laburnumridge/laburnumridge/internal/measure"
)

// Guards against changes to the decision code that miss an aim which was met before. Runs of the full length take too
// long with the race detector, so the file is excluded from race builds.
func TestAimsHold(t *testing.T) {
	for scenario, policies := range map[string][]string{
		"bad-workers": {measure.Ours}, "flood-high": {measure.Ours}, "flood-low": {measure.Ours},
		"interference": {measure.Ours, "least_loaded", "evict_on_slow"}, "restart-wave": {measure.Ours},
		"steady": {measure.Ours}, "store-outage": {measure.Ours}, "wrong-sizes": {measure.Ours},
	} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			for _, a := range run(t, scenario, "kelaniya", 0, policies...).Aims {
				t.Run(a.Name, func(t *testing.T) {
					knownred.Skip(t)
					assert.Assert(t, a.Met, "%+v", a)
				})
			}
		})
	}
}
