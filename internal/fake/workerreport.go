package fake

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// maxSamples bounds the samples kept for reports that are asked for late.
const maxSamples = 32

// sample is what was measured at one time.
type sample struct {
	latency []worker.LatencySample
	// stamp is 0 until the lag has passed.
	stamp   int64
	takenAt time.Time
	usage   []worker.UsageSample
}

// report lists what changed since the token with the given stamp, or all.
func (w *Worker) report(since int64, full bool) worker.Report {
	out := worker.Report{Epoch: w.epoch, Full: full, Leaving: w.leaving}
	if full {
		out.BootID, out.Capacity, out.EpochCapable, out.Worker = w.bootID, w.capacity, w.epochCapable, w.id
	}
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if t := w.tasks[id]; full || t.phase.IsEnd() || t.changed > since {
			out.Tasks = append(out.Tasks, t.wire())
		}
	}
	out.InFlight = w.inFlight()
	w.addSamples(&out, since)
	out.Token = w.bootID + "." + strconv.FormatInt(w.stamp(), 36)
	return out
}

func (w *Worker) inFlight() []worker.InFlight {
	var out []worker.InFlight
	for _, work := range slices.Sorted(maps.Keys(w.flying)) {
		f := worker.InFlight{Work: work}
		for epoch, n := range w.flying[work] {
			f.Count += n
			if epoch < w.epoch {
				f.LowerEpochs += n
			}
		}
		if f.Count > 0 {
			out = append(out, f)
		}
	}
	return out
}

func (w *Worker) addSamples(out *worker.Report, since int64) {
	for i := range w.samples {
		s := &w.samples[i]
		if s.takenAt.Add(w.lag).After(w.now()) {
			break
		}
		if s.stamp == 0 {
			s.stamp = w.stamp()
		}
		if s.stamp > since {
			out.Usage = append(out.Usage, s.usage...)
			out.Latency = append(out.Latency, s.latency...)
		}
	}
	if len(out.Usage)+len(out.Latency) > 0 {
		out.SentAt = w.now().UTC().Truncate(time.Millisecond)
	}
}

// sample records usage and latency at a time that the tasks have been advanced to.
func (w *Worker) sample(at time.Time) {
	s := sample{takenAt: at}
	wireAt := at.UTC().Truncate(time.Millisecond)
	usage := map[string]worker.UsageSample{}
	for _, t := range w.running() {
		u := usage[t.Work]
		u.CPUMilli += int64(float64(t.profile.CPUMilli) * t.fraction)
		u.MemoryMiB += t.profile.MemoryMiB
		u.TakenAt, u.Work = wireAt, t.Work
		usage[t.Work] = u
	}
	for _, work := range slices.Sorted(maps.Keys(usage)) {
		s.usage = append(s.usage, usage[work])
	}
	for _, work := range slices.Sorted(maps.Keys(w.durations)) {
		times := slices.Sorted(slices.Values(w.durations[work]))
		s.latency = append(s.latency, worker.LatencySample{
			Load:    float64(len(times)) / w.sampleInterval.Seconds(),
			P99:     note.Duration{Duration: times[(len(times)*99-1)/100]},
			TakenAt: wireAt,
			Window:  note.Duration{Duration: w.sampleInterval},
			Work:    work,
		})
	}
	clear(w.durations)
	w.samples = append(w.samples, s)
	if len(w.samples) > maxSamples {
		w.samples = w.samples[len(w.samples)-maxSamples:]
	}
}
