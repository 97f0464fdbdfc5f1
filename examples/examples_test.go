package examples_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/settings"
)

// TestExamplesAreValidAndPlaceable guards against examples that are rejected, and against work that can never
// start because a replica is larger than a worker or the replicas of a team exceed its quota.
func TestExamplesAreValidAndPlaceable(t *testing.T) {
	for user, worker := range map[string]fleet.Resources{
		"kelaniya": {Connections: 64, CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8},
		"retablo":  {Connections: 64, CPUMilli: 16_000, MemoryMiB: 62_000, Slots: 8},
	} {
		t.Run(user, func(t *testing.T) {
			_, err := settings.Load(user + "/settings.toml")
			assert.NilError(t, err)
			text, err := os.ReadFile(user + "/note.toml")
			assert.NilError(t, err)
			n, err := note.Parse(text)
			assert.NilError(t, err)
			c, err := note.Catalogue{}.Apply(n)
			assert.NilError(t, err)

			used, teams, share := map[string]fleet.Resources{}, map[string]fleet.Resources{}, 0.0
			for _, item := range c.Items() {
				w := item.Work
				if w.Kind == note.KindTeam {
					teams[w.Name] = w.Quota
					continue
				}
				assert.Assert(t, w.Resources.FitsIn(worker), w.Name)
				replicas := int64(max(w.ReplicasPerZone, 1)) // a batch work has at least one task
				used[w.Team] = used[w.Team].Add(w.Resources.Times(replicas))
				share += w.Share
			}
			for team, quota := range teams {
				assert.Assert(t, used[team].FitsIn(quota), "%s: %s of %s", team, used[team], quota)
			}
			assert.Assert(t, share <= 1, "shares add up to %g", share)
		})
	}
}
