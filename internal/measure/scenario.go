package measure

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/placement"
)

// scenario is a set of conditions under which policies are compared.
type scenario struct {
	about string
	aims  func(r *Report) []Aim
	// higherIsBetter is set if higher values of the deciding figure are better.
	higherIsBetter bool
	// decidingName names the deciding figure, by which the policies are compared.
	decidingName   string
	decidingFigure func(f Figures) float64
	length         time.Duration
	name           string
	// prepare submits the batch load and schedules the disturbances of the scenario.
	prepare   func(sim *simulation)
	policies  []string                                     // the rows that are run by default
	customRun func(u user, v variant, seed uint64) Figures // replaces the default run of a simulation
}

func scenarios() []scenario {
	return []scenario{steadyScenario(), interferenceScenario(), floodScenario(false), floodScenario(true), badWorkersScenario(), wrongSizesScenario(), restartWaveScenario(), storeOutageScenario()}
}

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	var out []string
	for _, s := range scenarios() {
		out = append(out, s.name)
	}
	return out
}

func scenarioByName(name string) (scenario, error) {
	for _, s := range scenarios() {
		if s.name == name {
			return s, nil
		}
	}
	return scenario{}, eris.Wrapf(ErrUnknown, "scenario %q", name)
}

// submitUsualBatchWork submits the batch load that all scenarios share, which demands most of the processors that the
// services leave free. Urgent work is rare, because the number of evictions per hour that make room for it is limited.
func submitUsualBatchWork(sim *simulation) {
	cpuShares := map[string]float64{archive: 0.25, forecast: 0.12, recall: 0.0035}
	for _, k := range sim.user.batch {
		cpuShare, ok := cpuShares[k.Name]
		switch {
		case ok:
		case k.Priority >= placement.UrgentPriority:
			cpuShare = 0.02
		default:
			cpuShare = 0.6 / float64(len(sim.user.batch)-len(cpuShares))
		}
		sim.submitPeriodically(k.Name, cpuShare, sim.now, sim.end, nil)
	}
}
