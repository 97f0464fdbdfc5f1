package measure

import (
	"time"

	"github.com/rotisserie/eris"
)

// scenario is one set of conditions that all rows run under.
type scenario struct {
	about string
	aims  func(r *Report) []Aim
	// better says whether more of the deciding figure is better.
	better   bool
	deciding string
	figure   func(f Figures) float64
	length   time.Duration
	name     string
	prepare  func(w *world)
	rows     []string
}

func scenarios() []scenario {
	return []scenario{steady(), interfering(), flood(false), flood(true), badWorkers(), wrongSizes(), restartWave()}
}

// Scenarios lists the names of the scenarios.
func Scenarios() []string {
	var out []string
	for _, s := range scenarios() {
		out = append(out, s.name)
	}
	return out
}

func scenarioNamed(name string) (scenario, error) {
	for _, s := range scenarios() {
		if s.name == name {
			return s, nil
		}
	}
	return scenario{}, eris.Wrapf(ErrUnknown, "scenario %q", name)
}

// usualBatch submits the batch work that all scenarios have; it asks for most of the processors that the
// services leave.
func usualBatch(w *world) {
	for i, k := range w.user.batch {
		part := 0.3
		switch {
		case k.Name == recall:
			part = 0.01
		case k.Name == archive:
			part = 0.2
		case k.Name == forecast:
			part = 0.1
		case i == 0:
			part = 0.06
		}
		w.submissions(k.Name, part, w.now, w.end, nil)
	}
}
