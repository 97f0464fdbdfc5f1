package measure

import (
	"runtime"
	"slices"
	"sync"
	"time"
)

// Aim is a bound on a figure, with the measured value.
type Aim struct {
	Bound        float64 `json:"bound"`
	IsLowerBound bool    `json:"least,omitempty"`
	Measured     float64 `json:"measured"`
	Met          bool    `json:"met"`
	Name         string  `json:"name"`
}

func atMost(name string, bound, measured float64) Aim {
	return Aim{Bound: bound, Measured: measured, Met: measured <= bound, Name: name}
}

func atLeast(name string, bound, measured float64) Aim {
	return Aim{Bound: bound, IsLowerBound: true, Measured: measured, Met: measured >= bound, Name: name}
}

// Row holds the results of one policy in a scenario, with one run per seed.
type Row struct {
	// Deciding is the mean of the deciding figure over the seeds.
	Deciding float64   `json:"deciding"`
	Max      float64   `json:"max"`
	Min      float64   `json:"min"`
	Policy   string    `json:"policy"`
	Runs     []Figures `json:"runs"`
	role     role
}

// Report holds the results of one scenario.
type Report struct {
	About string `json:"about"`
	Aims  []Aim  `json:"aims"`
	// Deciding names the figure by which the policies are compared.
	Deciding       string `json:"deciding"`
	Rows           []Row  `json:"rows"`
	Scenario       string `json:"scenario"`
	User           string `json:"user"`
	steadyRow      *Row   // runs of the steady scenario that floods are compared with, or nil
	higherIsBetter bool   // higher values of the deciding figure are better
}

// Options configure Run.
type Options struct {
	// Length overrides the scenario's run length in virtual time; 0 keeps it.
	Length time.Duration
	// Policies are the names of the rows to run; if it is empty, the scenario's own list is used.
	Policies []string
	Seeds    []uint64
	// User is kelaniya or retablo.
	User string
}

// urgentStartBound is the design's bound, in seconds, on the time from the submission of an urgent task to its start.
const urgentStartBound = 3.5

// Run runs a scenario for each policy and seed. It returns an error that matches ErrUnknown if the scenario, the user or
// a policy does not exist.
func Run(name string, opts Options) (*Report, error) {
	u, err := userByName(opts.User)
	if err != nil {
		return nil, err
	}
	s, err := scenarioByName(name)
	if err != nil {
		return nil, err
	}
	selected, err := variantsByName(opts.Policies)
	if err != nil {
		return nil, err
	}
	if len(opts.Policies) == 0 {
		selected = slices.DeleteFunc(selected, func(v variant) bool { return !slices.Contains(s.policies, v.name) })
	}
	if opts.Length > 0 {
		s.length = opts.Length
	}
	r := &Report{About: s.about, Deciding: s.decidingName, Scenario: name, User: opts.User, higherIsBetter: s.higherIsBetter}
	for _, v := range selected {
		r.Rows = append(r.Rows, Row{Policy: v.name, role: v.role, Runs: make([]Figures, len(opts.Seeds))})
	}
	needsSteady := s.higherIsBetter && slices.ContainsFunc(selected, func(v variant) bool { return v.name == Ours })
	var jobs []func()
	for i, v := range selected {
		for n, seed := range opts.Seeds {
			jobs = append(jobs, func() { r.Rows[i].Runs[n] = runOnce(s, u, v, seed) })
		}
	}
	if needsSteady {
		r.steadyRow = &Row{Policy: Ours, Runs: make([]Figures, len(opts.Seeds))}
		for n, seed := range opts.Seeds {
			jobs = append(jobs, func() { r.steadyRow.Runs[n] = runOnce(steadyScenario(), u, variants()[0], seed) })
		}
	}
	runParallel(jobs)
	for i := range r.Rows {
		r.Rows[i].summarize(s.decidingFigure)
	}
	r.Aims = s.aims(r)
	return r, nil
}

func runOnce(s scenario, u user, v variant, seed uint64) Figures {
	if s.customRun != nil {
		return s.customRun(u, v, seed)
	}
	sim := newSimulation(u, v, seed, s.length)
	s.prepare(sim)
	sim.run()
	f := sim.recorder.result()
	f.services = u.services
	return f
}

// runParallel runs the jobs on GOMAXPROCS goroutines. The jobs must not share data that they write.
func runParallel(jobs []func()) {
	next := make(chan func())
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for f := range next {
				f()
			}
		})
	}
	for _, f := range jobs {
		next <- f
	}
	close(next)
	wg.Wait()
}

// Row returns the row of a policy, or nil if it was not run.
func (r *Report) Row(policy string) *Row {
	for i := range r.Rows {
		if r.Rows[i].Policy == policy {
			return &r.Rows[i]
		}
	}
	return nil
}

// bestBaseline returns the baseline with the best deciding figure, or nil if no baseline was run.
func (r *Report) bestBaseline() *Row {
	var best *Row
	for i := range r.Rows {
		row := &r.Rows[i]
		if row.role == roleBaseline && (best == nil || (row.Deciding < best.Deciding) != r.higherIsBetter) {
			best = row
		}
	}
	return best
}

// urgentAim compares the slowest start of an urgent task with urgentStartBound, for the scheduler's own policies or, if
// they were not run, for the first row.
func (r *Report) urgentAim() Aim {
	row := r.Row(Ours)
	if row == nil {
		row = &r.Rows[0]
	}
	return atMost("urgent start in s, worst seed, "+row.Policy, urgentStartBound, row.worst(func(f Figures) float64 { return f.UrgentStart }))
}

func (r *Row) summarize(figure func(Figures) float64) {
	r.Deciding = r.mean(figure)
	r.Max = r.worst(figure)
	r.Min = -r.worst(func(f Figures) float64 { return -figure(f) })
}

func (r *Row) mean(figure func(Figures) float64) float64 {
	sum := 0.0
	for _, f := range r.Runs {
		sum += figure(f)
	}
	return sum / float64(len(r.Runs))
}

// worst returns the highest value over the seeds.
func (r *Row) worst(figure func(Figures) float64) float64 {
	out := figure(r.Runs[0])
	for _, f := range r.Runs[1:] {
		out = max(out, figure(f))
	}
	return out
}

func evictionsFigure(f Figures) float64 { return float64(f.Evictions) }

func coreSecondsFigure(f Figures) float64 { return f.CoreSeconds }

// worstP99Ratio returns the highest ratio of a service's p99 to its latency target.
func worstP99Ratio(f Figures) float64 {
	worst := 0.0
	for i, s := range f.services {
		worst = max(worst, f.Works[i].P99/float64(s.LatencyTarget.Milliseconds()))
	}
	return worst
}

func (f Figures) isFlooding(work string) bool {
	return work == f.floodingWorks[0] || work == f.floodingWorks[1]
}

// notFlooding returns the figures of the works that do not flood.
func (f Figures) notFlooding() []WorkFigures {
	return slices.DeleteFunc(slices.Clone(f.Works), func(k WorkFigures) bool { return f.isFlooding(k.Name) })
}
