package measure

import (
	"maps"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/placement"
)

// Kind holds the figures of one kind of work in one run. Latencies are in milliseconds.
type Kind struct {
	// Before and During are answers or finished tasks a second before and during a flood.
	Before float64 `json:"before,omitempty"`
	During float64 `json:"during,omitempty"`
	Done   int     `json:"done"`
	Name   string  `json:"name"`
	P50    float64 `json:"p50,omitempty"`
	P99    float64 `json:"p99,omitempty"`
	P999   float64 `json:"p99_9,omitempty"`
	// Refused counts requests that were not answered, and Offered all of them.
	Offered int `json:"offered,omitempty"`
	Refused int `json:"refused,omitempty"`
	// Urgent is the longest time from submission to start of a task that is not part of a flood, in seconds.
	Urgent float64 `json:"urgent,omitempty"`
}

// Keeps is what the kind kept during a flood as a share of before.
func (k Kind) Keeps() float64 {
	if k.Before == 0 {
		return 0
	}
	return k.During / k.Before
}

// Figures are the results of one run.
type Figures struct {
	// Attempts is the number of attempts for each admitted request.
	Attempts  float64 `json:"attempts"`
	Evictions int     `json:"evictions"`
	// FloodShare is the part of the capacity left by other kinds that the flooding kinds used: the
	// service, then the batch work.
	FloodShare [2]float64 `json:"flood_share,omitzero"`
	Kinds      []Kind     `json:"kinds"`
	// LostStarts is the part of task starts after the first minute that bad workers failed.
	LostStarts float64 `json:"lost_starts"`
	// QuarantinedHealthy counts quarantines of healthy workers.
	QuarantinedHealthy int `json:"quarantined_healthy"`
	// TasksDone counts finished batch tasks, and Work their processor time in core seconds as declared.
	TasksDone int     `json:"tasks_done"`
	Urgent    float64 `json:"urgent_start"`
	Work      float64 `json:"work"`
	floods    [2]string
	targets   []note.Work
}

// figures collects the figures of a run.
type figures struct {
	attempts, firsts int
	evictions        int
	floodFrom        time.Time
	floods           [2]string // the flooding service and batch work
	healthy          int
	histograms       map[string]*hdrhistogram.Histogram
	kinds            map[string]*Kind
	lost, starts     int
	servedIn         map[string]map[string]float64 // slot time by worker and service during the flood of requests
	work             float64
	workAt           map[string]float64 // core seconds during the flood
	world            *world
}

func newFigures(w *world) *figures {
	f := &figures{
		histograms: map[string]*hdrhistogram.Histogram{}, kinds: map[string]*Kind{}, workAt: map[string]float64{}, world: w,
	}
	for _, s := range w.services {
		f.histograms[s.Name] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		f.kinds[s.Name] = &Kind{Name: s.Name}
	}
	for _, b := range w.user.batch {
		f.kinds[b.Name] = &Kind{Name: b.Name}
	}
	return f
}

func (f *figures) answered(kind string, latency time.Duration) {
	f.count(kind)
	if w := f.world; w.measured() && (f.floodFrom.IsZero() || w.now.Before(f.floodFrom.Add(requestFlood))) {
		_ = f.histograms[kind].RecordValue(min(latency, time.Minute).Microseconds())
	}
}

func (f *figures) attempt() { f.attempts++ }

func (f *figures) first(string) { f.firsts++ }

func (f *figures) offered(kind string) {
	if f.world.measured() {
		f.kinds[kind].Offered++
	}
}

func (f *figures) refused(kind string) {
	if f.world.measured() {
		f.kinds[kind].Refused++
	}
}

func (f *figures) evicted() { f.evictions++ }

// count counts an answer or a finished task, and its rate before and during a flood.
func (f *figures) count(kind string) {
	w := f.world
	if !w.measured() {
		return
	}
	k := f.kinds[kind]
	k.Done++
	switch {
	case f.floodFrom.IsZero():
	case w.now.Before(f.floodFrom):
		k.Before += 1 / (f.floodFrom.Sub(epoch) - warmUp).Seconds()
	case f.histograms[kind] != nil && w.now.Before(f.floodFrom.Add(requestFlood)):
		k.During += 1 / requestFlood.Seconds()
	case f.histograms[kind] == nil:
		k.During += 1 / w.end.Sub(f.floodFrom).Seconds()
	}
}

func (f *figures) finished(t *task) {
	f.count(t.Work)
	if f.world.measured() {
		f.work += coreSeconds(t)
	}
}

func coreSeconds(t *task) float64 {
	return float64(t.Resources.CPUMilli) / 1000 * t.work.RunTime.Seconds()
}

func (f *figures) started(t *task, b *backend) {
	if f.world.measured() {
		f.starts++
	}
	if !b.bad {
		f.waited(t)
	}
}

// waited counts the time until the first start of an urgent task on a worker that is not bad, or until now
// if it still waits.
func (f *figures) waited(t *task) {
	if t.counted || t.Priority < placement.UrgentPriority || t.Submitted.Sub(epoch) < warmUp {
		return
	}
	t.counted = true
	k := f.kinds[t.Work]
	k.Urgent = max(k.Urgent, f.world.now.Sub(t.Submitted).Seconds())
}

// held counts the processor time that a task held since the last pass.
func (f *figures) held(t *task) {
	if !f.floodFrom.IsZero() && f.world.now.After(f.floodFrom) {
		f.workAt[t.Work] += float64(t.Resources.CPUMilli) / 1000 * placeEvery.Seconds()
	}
}

// beginFlood starts the second part of a run with a flood of a service and of a batch work.
func (f *figures) beginFlood(service, batch string) {
	f.floods = [2]string{service, batch}
	for _, b := range f.world.backends {
		clear(b.served)
	}
	for _, h := range f.histograms {
		h.Reset()
	}
}

// endRequests ends the part of the flood in which requests are counted.
func (f *figures) endRequests() {
	f.servedIn = map[string]map[string]float64{}
	for _, b := range f.world.backends {
		f.servedIn[b.ID] = maps.Clone(b.served)
	}
}

// floodShare returns the parts of what other kinds left that the flooding kinds used.
func (f *figures) floodShare() [2]float64 {
	w := f.world
	if f.floods[0] == "" {
		return [2]float64{}
	}
	var left, got float64
	for _, b := range w.hosting[f.floods[0]] {
		left += float64(b.Capacity.Slots) * requestFlood.Seconds()
		for _, s := range w.services {
			kind, s := s.Name, f.servedIn[b.ID][s.Name]
			if kind == f.floods[0] {
				got += s
			} else {
				left -= s
			}
		}
	}
	out := [2]float64{got / left}
	cores := 0.0
	for _, b := range w.backends {
		cores += float64(b.Capacity.CPUMilli) / 1000
		for _, h := range w.owner.replicas[b.ID] {
			cores -= float64(h.Resources.CPUMilli) / 1000
		}
	}
	cores *= w.end.Sub(f.floodFrom).Seconds()
	for _, k := range w.user.batch {
		if k.Name != f.floods[1] {
			cores -= f.workAt[k.Name]
		}
	}
	out[1] = f.workAt[f.floods[1]] / cores
	return out
}

func (f *figures) failedStart(b *backend) {
	if b.bad && f.world.measured() {
		f.lost++
	}
}

func (f *figures) quarantined(b *backend) {
	if !b.bad {
		f.healthy++
	}
}

func (f *figures) result() Figures {
	w := f.world
	for _, t := range w.owner.tasks {
		if t.worker == "" {
			f.waited(t)
		}
	}
	out := Figures{floods: f.floods, FloodShare: f.floodShare(), Evictions: f.evictions, QuarantinedHealthy: f.healthy, Work: f.work}
	if f.firsts > 0 {
		out.Attempts = float64(f.attempts) / float64(f.firsts)
	}
	if f.starts > 0 {
		out.LostStarts = float64(f.lost) / float64(f.starts)
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	for _, s := range w.services {
		k, h := *f.kinds[s.Name], f.histograms[s.Name]
		k.P50, k.P99, k.P999 = ms(h, 50), ms(h, 99), ms(h, 99.9)
		out.Kinds = append(out.Kinds, k)
	}
	for _, b := range w.user.batch {
		k := *f.kinds[b.Name]
		out.Kinds = append(out.Kinds, k)
		out.TasksDone += k.Done
		if b.Name != f.floods[1] {
			out.Urgent = max(out.Urgent, k.Urgent)
		}
	}
	return out
}
