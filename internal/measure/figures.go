package measure

import (
	"maps"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/placement"
)

// WorkFigures holds the figures of one service or batch work in one run. Latencies are in milliseconds.
type WorkFigures struct {
	// RateBefore and RateDuring are the answered requests or finished tasks per second before and during a flood or an
	// outage of the store.
	RateBefore float64 `json:"before,omitempty"`
	RateDuring float64 `json:"during,omitempty"`
	Done       int     `json:"done"`
	Name       string  `json:"name"`
	P50        float64 `json:"p50,omitempty"`
	P99        float64 `json:"p99,omitempty"`
	P999       float64 `json:"p99_9,omitempty"`
	// Offered counts all requests, and Refused those that were refused or failed.
	Offered int `json:"offered,omitempty"`
	Refused int `json:"refused,omitempty"`
	// UrgentStart is the longest time in seconds from the submission of an urgent task to its first start.
	UrgentStart float64 `json:"urgent,omitempty"`
}

// RetainedFraction returns the rate during a flood or an outage as a fraction of the rate before.
func (k WorkFigures) RetainedFraction() float64 {
	if k.RateBefore == 0 {
		return 0
	}
	return k.RateDuring / k.RateBefore
}

// Figures are the results of one run.
type Figures struct {
	// Attempts is the mean number of attempts per admitted request.
	Attempts  float64 `json:"attempts"`
	Evictions int     `json:"evictions"`
	// FloodShare is the fraction of the capacity left over by other work that the flooding service and the flooding
	// batch work used, in this order.
	FloodShare [2]float64    `json:"flood_share,omitzero"`
	Works      []WorkFigures `json:"kinds"`
	// LostStarts is the fraction of task starts after the warm-up that failed because the worker is bad.
	LostStarts float64 `json:"lost_starts"`
	// QuarantinedHealthy counts quarantines of workers that are not bad.
	QuarantinedHealthy int `json:"quarantined_healthy"`
	// TasksDone counts finished batch tasks.
	TasksDone     int     `json:"tasks_done"`
	UrgentStart   float64 `json:"urgent_start"`
	CoreSeconds   float64 `json:"work"`
	floodingWorks [2]string
	services      []note.Work
}

// recorder counts the events of one run and computes its Figures from them.
type recorder struct {
	attempts, admitted  int
	evictions           int
	disturbanceStart    time.Time
	floodingWorks       [2]string // the flooding service, then the flooding batch work
	healthyQuarantines  int
	histograms          map[string]*hdrhistogram.Histogram
	works               map[string]*WorkFigures
	lostStarts, starts  int
	floodSlotSeconds    map[string]map[string]float64 // by worker id and service, for the flood of requests
	finishedCoreSeconds float64
	floodCoreSeconds    map[string]float64 // by batch work, from reservations since the disturbance started
	sim                 *simulation
}

func newRecorder(sim *simulation) *recorder {
	r := &recorder{
		histograms: map[string]*hdrhistogram.Histogram{}, works: map[string]*WorkFigures{}, floodCoreSeconds: map[string]float64{}, sim: sim,
	}
	for _, s := range sim.services {
		r.histograms[s.Name] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		r.works[s.Name] = &WorkFigures{Name: s.Name}
	}
	for _, b := range sim.user.batch {
		r.works[b.Name] = &WorkFigures{Name: b.Name}
	}
	return r
}

// requestAnswered counts an answer and records its latency, except after the end of a flood of requests.
func (r *recorder) requestAnswered(work string, latency time.Duration) {
	r.countDone(work)
	if sim := r.sim; sim.pastWarmUp() && (r.disturbanceStart.IsZero() || sim.now.Before(r.disturbanceStart.Add(requestFloodDuration))) {
		_ = r.histograms[work].RecordValue(min(latency, time.Minute).Microseconds())
	}
}

func (r *recorder) attemptStarted() { r.attempts++ }

func (r *recorder) requestAdmitted(string) { r.admitted++ }

func (r *recorder) requestOffered(work string) {
	if r.sim.pastWarmUp() {
		r.works[work].Offered++
	}
}

func (r *recorder) requestRefused(work string) {
	if r.sim.pastWarmUp() {
		r.works[work].Refused++
	}
}

func (r *recorder) taskEvicted() { r.evictions++ }

// countDone counts an answered request or a finished task, also in the rates before and during a disturbance.
func (r *recorder) countDone(work string) {
	sim := r.sim
	if !sim.pastWarmUp() {
		return
	}
	k := r.works[work]
	k.Done++
	switch {
	case r.disturbanceStart.IsZero():
	case sim.now.Before(r.disturbanceStart):
		k.RateBefore += 1 / (r.disturbanceStart.Sub(runStart) - warmUp).Seconds()
	case r.histograms[work] != nil && sim.now.Before(r.disturbanceStart.Add(requestFloodDuration)):
		k.RateDuring += 1 / requestFloodDuration.Seconds()
	case r.histograms[work] == nil:
		k.RateDuring += 1 / sim.end.Sub(r.disturbanceStart).Seconds()
	}
}

func (r *recorder) taskFinished(t *task) {
	r.countDone(t.Work)
	if r.sim.pastWarmUp() {
		r.finishedCoreSeconds += coreSeconds(t)
	}
}

func coreSeconds(t *task) float64 {
	return float64(t.Resources.CPUMilli) / 1000 * t.work.RunTime.Seconds()
}

func (r *recorder) taskStarted(t *task, w *simWorker) {
	if r.sim.pastWarmUp() {
		r.starts++
	}
	if !w.failsAll {
		r.recordUrgentStart(t)
	}
}

// recordUrgentStart records the time from the submission of an urgent task until now: its first start on a worker that
// is not bad, or the end of the run if the task still waits. Tasks submitted during the warm-up don't count.
func (r *recorder) recordUrgentStart(t *task) {
	if t.startRecorded || t.Priority < placement.UrgentPriority || t.Submitted.Sub(runStart) < warmUp {
		return
	}
	t.startRecorded = true
	k := r.works[t.Work]
	k.UrgentStart = max(k.UrgentStart, r.sim.now.Sub(t.Submitted).Seconds())
}

// addHeldProcessorTime adds the processor time that a task has reserved since the previous tick of the shard owner.
func (r *recorder) addHeldProcessorTime(t *task) {
	if !r.disturbanceStart.IsZero() && r.sim.now.After(r.disturbanceStart) {
		r.floodCoreSeconds[t.Work] += float64(t.Resources.CPUMilli) / 1000 * placementInterval.Seconds()
	}
}

// floodStarted names the flooding works and resets slot usage and latencies, so that both describe the flood only.
func (r *recorder) floodStarted(service, batch string) {
	r.floodingWorks = [2]string{service, batch}
	for _, w := range r.sim.workers {
		clear(w.slotSeconds)
	}
	for _, h := range r.histograms {
		h.Reset()
	}
}

// requestFloodEnded keeps the slot usage of the flood of requests, which ends before that of batch tasks.
func (r *recorder) requestFloodEnded() {
	r.floodSlotSeconds = map[string]map[string]float64{}
	for _, w := range r.sim.workers {
		r.floodSlotSeconds[w.ID] = maps.Clone(w.slotSeconds)
	}
}

// floodShare returns Figures.FloodShare: slots of the workers that host the flooding service, and processors that the
// replicas and the other batch works left free.
func (r *recorder) floodShare() [2]float64 {
	sim := r.sim
	if r.floodingWorks[0] == "" {
		return [2]float64{}
	}
	var slotSecondsLeft, slotSecondsUsed float64
	for _, w := range sim.workersByService[r.floodingWorks[0]] {
		slotSecondsLeft += float64(w.Capacity.Slots) * requestFloodDuration.Seconds()
		for _, s := range sim.services {
			work, s := s.Name, r.floodSlotSeconds[w.ID][s.Name]
			if work == r.floodingWorks[0] {
				slotSecondsUsed += s
			} else {
				slotSecondsLeft -= s
			}
		}
	}
	out := [2]float64{slotSecondsUsed / slotSecondsLeft}
	coreSecondsLeft := 0.0
	for _, w := range sim.workers {
		coreSecondsLeft += float64(w.Capacity.CPUMilli) / 1000
		for _, h := range sim.owner.replicas[w.ID] {
			coreSecondsLeft -= float64(h.Resources.CPUMilli) / 1000
		}
	}
	coreSecondsLeft *= sim.end.Sub(r.disturbanceStart).Seconds()
	for _, k := range sim.user.batch {
		if k.Name != r.floodingWorks[1] {
			coreSecondsLeft -= r.floodCoreSeconds[k.Name]
		}
	}
	out[1] = r.floodCoreSeconds[r.floodingWorks[1]] / coreSecondsLeft
	return out
}

func (r *recorder) startFailed(w *simWorker) {
	if w.failsAll && r.sim.pastWarmUp() {
		r.lostStarts++
	}
}

func (r *recorder) workerQuarantined(w *simWorker) {
	if !w.failsAll {
		r.healthyQuarantines++
	}
}

// result computes the figures at the end of the run; tasks that still wait count for UrgentStart.
func (r *recorder) result() Figures {
	sim := r.sim
	for _, t := range sim.owner.tasks {
		if t.worker == "" {
			r.recordUrgentStart(t)
		}
	}
	out := Figures{floodingWorks: r.floodingWorks, FloodShare: r.floodShare(), Evictions: r.evictions, QuarantinedHealthy: r.healthyQuarantines, CoreSeconds: r.finishedCoreSeconds}
	if r.admitted > 0 {
		out.Attempts = float64(r.attempts) / float64(r.admitted)
	}
	if r.starts > 0 {
		out.LostStarts = float64(r.lostStarts) / float64(r.starts)
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	for _, s := range sim.services {
		k, h := *r.works[s.Name], r.histograms[s.Name]
		k.P50, k.P99, k.P999 = ms(h, 50), ms(h, 99), ms(h, 99.9)
		out.Works = append(out.Works, k)
	}
	for _, b := range sim.user.batch {
		k := *r.works[b.Name]
		out.Works = append(out.Works, k)
		out.TasksDone += k.Done
		if b.Name != r.floodingWorks[1] {
			out.UrgentStart = max(out.UrgentStart, k.UrgentStart)
		}
	}
	return out
}
