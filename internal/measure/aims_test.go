//go:build !race

package measure_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/measure"
)

// Guards against changes of the decision code that lose an aim which is met. The runs have their full
// length, which takes too long with the race detector.
func TestAimsHold(t *testing.T) {
	// missed lists the aims that docs/measurements.md states as missed for this seed.
	missed := map[string]bool{
		"flood-high: archive keeps":                                    true,
		"interference: batch work / best baseline":                     true,
		"interference: batch work / the same baseline":                 true,
		"interference: p99 of services / best baseline (least_loaded)": true,
		"store-outage: urgent start in s, worst seed, ours":            true,
	}
	for scenario, policies := range map[string][]string{
		"bad-workers": {measure.Ours}, "flood-high": {measure.Ours}, "flood-low": {measure.Ours},
		"interference": {measure.Ours, "least_loaded", "evict_on_slow"}, "restart-wave": {measure.Ours},
		"steady": {measure.Ours}, "store-outage": {measure.Ours}, "wrong-sizes": {measure.Ours},
	} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			for _, a := range run(t, scenario, "kelaniya", 0, policies...).Aims {
				assert.Check(t, a.Met || missed[scenario+": "+a.Name], "%+v", a)
			}
		})
	}
}
