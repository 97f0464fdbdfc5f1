package measure

import (
	"runtime"
	"slices"
	"sync"
	"time"
)

// Aim is one bound with what was measured.
type Aim struct {
	Bound    float64 `json:"bound"`
	Least    bool    `json:"least,omitempty"`
	Measured float64 `json:"measured"`
	Met      bool    `json:"met"`
	Name     string  `json:"name"`
}

func atMost(name string, bound, measured float64) Aim {
	return Aim{Bound: bound, Measured: measured, Met: measured <= bound, Name: name}
}

func atLeast(name string, bound, measured float64) Aim {
	return Aim{Bound: bound, Least: true, Measured: measured, Met: measured >= bound, Name: name}
}

// Row holds the runs of one policy, one for each seed.
type Row struct {
	// Deciding is the mean of the deciding figure over the seeds.
	Deciding float64   `json:"deciding"`
	Max      float64   `json:"max"`
	Min      float64   `json:"min"`
	Policy   string    `json:"policy"`
	Runs     []Figures `json:"runs"`
	role     role
}

// Report holds the rows of one scenario.
type Report struct {
	About    string `json:"about"`
	Aims     []Aim  `json:"aims"`
	Deciding string `json:"deciding"`
	Rows     []Row  `json:"rows"`
	Scenario string `json:"scenario"`
	User     string `json:"user"`
	calm     *Row
	more     bool // more of the deciding figure is better
}

// Options select what Run measures.
type Options struct {
	// Length replaces the length of the runs, unless it is 0.
	Length time.Duration
	// Policies are the rows; none means those that matter in the scenario.
	Policies []string
	Seeds    []uint64
	// User is kelaniya or retablo.
	User string
}

// urgentBound is the design's bound for the start of urgent work, in seconds.
const urgentBound = 3.5

// Run measures a scenario; errors match ErrUnknown.
func Run(name string, opts Options) (*Report, error) {
	u, err := userByName(opts.User)
	if err != nil {
		return nil, err
	}
	s, err := scenarioNamed(name)
	if err != nil {
		return nil, err
	}
	vs, err := variantsNamed(opts.Policies)
	if err != nil {
		return nil, err
	}
	if len(opts.Policies) == 0 {
		vs = slices.DeleteFunc(vs, func(v variant) bool { return !slices.Contains(s.rows, v.name) })
	}
	if opts.Length > 0 {
		s.length = opts.Length
	}
	r := &Report{About: s.about, Deciding: s.deciding, Scenario: name, User: opts.User, more: s.better}
	for _, v := range vs {
		r.Rows = append(r.Rows, Row{Policy: v.name, role: v.role, Runs: make([]Figures, len(opts.Seeds))})
	}
	needsCalm := s.better && slices.ContainsFunc(vs, func(v variant) bool { return v.name == Ours })
	var jobs []func()
	for i, v := range vs {
		for n, seed := range opts.Seeds {
			jobs = append(jobs, func() { r.Rows[i].Runs[n] = runOnce(s, u, v, seed) })
		}
	}
	if needsCalm {
		r.calm = &Row{Policy: Ours, Runs: make([]Figures, len(opts.Seeds))}
		for n, seed := range opts.Seeds {
			jobs = append(jobs, func() { r.calm.Runs[n] = runOnce(steady(), u, variants()[0], seed) })
		}
	}
	parallel(jobs)
	for i := range r.Rows {
		r.Rows[i].sum(s.figure)
	}
	r.Aims = s.aims(r)
	return r, nil
}

func runOnce(s scenario, u user, v variant, seed uint64) Figures {
	if s.run != nil {
		return s.run(u, v, seed)
	}
	w := newWorld(u, v, seed, s.length)
	s.prepare(w)
	w.run()
	f := w.figures.result()
	f.targets = u.services
	return f
}

// parallel runs independent jobs on all processors; each writes to a place of its own.
func parallel(jobs []func()) {
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

// Row returns the row of a policy, or nil.
func (r *Report) Row(policy string) *Row {
	for i := range r.Rows {
		if r.Rows[i].Policy == policy {
			return &r.Rows[i]
		}
	}
	return nil
}

// bestBaseline returns the baseline with the best deciding figure, or nil.
func (r *Report) bestBaseline() *Row {
	var best *Row
	for i := range r.Rows {
		row := &r.Rows[i]
		if row.role == roleBaseline && (best == nil || (row.Deciding < best.Deciding) != r.more) {
			best = row
		}
	}
	return best
}

func (r *Report) urgentAim() Aim {
	row := r.Row(Ours)
	if row == nil {
		row = &r.Rows[0]
	}
	return atMost("urgent start in s, worst seed, "+row.Policy, urgentBound, row.worst(func(f Figures) float64 { return f.Urgent }))
}

func (w *Row) sum(figure func(Figures) float64) {
	w.Deciding = w.mean(figure)
	w.Max = w.worst(figure)
	w.Min = -w.worst(func(f Figures) float64 { return -figure(f) })
}

func (w *Row) mean(figure func(Figures) float64) float64 {
	sum := 0.0
	for _, f := range w.Runs {
		sum += figure(f)
	}
	return sum / float64(len(w.Runs))
}

func (w *Row) worst(figure func(Figures) float64) float64 {
	out := figure(w.Runs[0])
	for _, f := range w.Runs[1:] {
		out = max(out, figure(f))
	}
	return out
}

func evictionsOf(f Figures) float64 { return float64(f.Evictions) }

func workOf(f Figures) float64 { return f.Work }

// worstRatio is the p99 of the service that is slowest compared with its target.
func worstRatio(f Figures) float64 {
	worst := 0.0
	for i, s := range f.targets {
		worst = max(worst, f.Kinds[i].P99/float64(s.LatencyTarget.Milliseconds()))
	}
	return worst
}

func (f Figures) isFlooding(kind string) bool { return kind == f.floods[0] || kind == f.floods[1] }

// others returns the kinds that do not flood.
func (f Figures) others() []Kind {
	return slices.DeleteFunc(slices.Clone(f.Kinds), func(k Kind) bool { return f.isFlooding(k.Name) })
}
