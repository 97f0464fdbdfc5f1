package fake

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// maxKeptSamples is the number of samples that are kept for heartbeats that arrive late.
const maxKeptSamples = 32

// sample holds the usage and latency measured at one time.
type sample struct {
	latency []worker.LatencySample
	// firstReported is the stamp of the first report that held the sample, 0 before that.
	firstReported int64
	takenAt       time.Time
	usage         []worker.UsageSample
}

// report returns the changes since the token with the given stamp, or the full state. Ends of tasks are in each report
// until they are acknowledged.
func (w *Worker) report(since int64, full bool) worker.Report {
	out := worker.Report{Epoch: w.epoch, Full: full, Leaving: w.leaving}
	if full {
		out.BootID, out.Capacity, out.EpochCapable, out.Worker = w.bootID, w.capacity, w.epochCapable, w.id
	}
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if t := w.tasks[id]; full || t.phase.IsEnd() || t.changeStamp > since {
			out.Tasks = append(out.Tasks, t.toWire())
		}
	}
	out.InFlight = w.inFlight()
	w.addSamples(&out, since)
	out.Token = w.bootID + "." + strconv.FormatInt(w.nextStamp(), 36)
	return out
}

// inFlight returns the numbers of requests in flight, by service.
func (w *Worker) inFlight() []worker.InFlight {
	var out []worker.InFlight
	for _, work := range slices.Sorted(maps.Keys(w.requestsByEpoch)) {
		f := worker.InFlight{Work: work}
		for epoch, n := range w.requestsByEpoch[work] {
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

// addSamples adds the samples whose report delay has passed and that were first reported after the given stamp: the
// owner may not have received that report.
func (w *Worker) addSamples(out *worker.Report, since int64) {
	for i := range w.samples {
		s := &w.samples[i]
		if s.takenAt.Add(w.reportDelay).After(w.now()) {
			break
		}
		if s.firstReported == 0 {
			s.firstReported = w.nextStamp()
		}
		if s.firstReported > since {
			out.Usage = append(out.Usage, s.usage...)
			out.Latency = append(out.Latency, s.latency...)
		}
	}
	if len(out.Usage)+len(out.Latency) > 0 {
		out.SentAt = w.now().UTC().Truncate(time.Millisecond)
	}
}

// takeSample records usage and latency at a time to which the tasks have been advanced.
func (w *Worker) takeSample(at time.Time) {
	s := sample{takenAt: at}
	wireAt := at.UTC().Truncate(time.Millisecond)
	usage := map[string]worker.UsageSample{}
	for _, t := range w.runningTasks() {
		u := usage[t.Work]
		u.CPUMilli += int64(float64(t.profile.CPUMilli) * t.throttleFraction)
		u.MemoryMiB += t.profile.MemoryMiB
		u.TakenAt, u.Work = wireAt, t.Work
		usage[t.Work] = u
	}
	for _, work := range slices.Sorted(maps.Keys(usage)) {
		s.usage = append(s.usage, usage[work])
	}
	for _, work := range slices.Sorted(maps.Keys(w.serviceTimes)) {
		times := slices.Sorted(slices.Values(w.serviceTimes[work]))
		s.latency = append(s.latency, worker.LatencySample{
			Load:    float64(len(times)) / w.sampleInterval.Seconds(),
			P99:     note.Duration{Duration: times[(len(times)*99-1)/100]},
			TakenAt: wireAt,
			Window:  note.Duration{Duration: w.sampleInterval},
			Work:    work,
		})
	}
	clear(w.serviceTimes)
	w.samples = append(w.samples, s)
	if len(w.samples) > maxKeptSamples {
		w.samples = w.samples[len(w.samples)-maxKeptSamples:]
	}
}
