package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/placement"
)

const (
	zone       = "zone"
	entryHosts = 2
	// warmUp is left out of all figures.
	warmUp = time.Minute
	// serviceSpread is the standard deviation of the logarithm of service times.
	serviceSpread = 0.3
)

// backend is the stand-in of a worker: what reports, routing and placement can see of it, and the true
// slowdown on it.
type backend struct {
	fleet.Host
	// bad says that everything fails there quickly.
	bad bool
	// down says that the worker restarts and refuses connections.
	down      bool
	inFlight  int
	latencies map[string][]time.Duration // of the current report window
	replicas  []string
	running   []*task
	served    map[string]float64 // slot time by service, in seconds
	throttled string             // the throttled batch work
}

// world is one run.
type world struct {
	clock
	backends  []*backend
	byID      map[string]*backend
	end       time.Time
	entries   []*entry
	figures   *figures
	hosting   map[string][]*backend // by service
	kinds     map[string]note.Work
	owner     *owner
	pairs     map[[2]string]float64
	rng       *rand.Rand
	services  []note.Work
	submit    func(work string, change func(*task))
	truth     *rand.Rand
	trueCPU   map[string]float64 // true usage of a batch work as a multiple of its declared size
	trueTime  map[string]float64 // true run time as a multiple of the declared one
	user      user
	variant   variant
	loadShift func(now time.Duration) float64
}

func newWorld(u user, v variant, seed uint64, length time.Duration) *world {
	w := &world{
		byID: map[string]*backend{}, clock: clock{now: epoch}, end: epoch.Add(length), hosting: map[string][]*backend{},
		kinds: map[string]note.Work{}, pairs: map[[2]string]float64{}, rng: rand.New(rand.NewPCG(seed, 1)),
		services: u.services, trueCPU: map[string]float64{}, trueTime: map[string]float64{},
		truth: rand.New(rand.NewPCG(seed, 2)), user: u, variant: v,
		loadShift: func(time.Duration) float64 { return 1 },
	}
	for i := range u.workers {
		b := &backend{
			Host: fleet.Host{
				Capacity: u.worker, ID: fmt.Sprintf("w%03d", i+1), Kind: fleet.KindWorker,
				Rack: fmt.Sprintf("r%d", i/u.workersPerRack), State: fleet.StateLive, Zone: zone,
			},
			latencies: map[string][]time.Duration{}, served: map[string]float64{},
		}
		w.backends = append(w.backends, b)
		w.byID[b.ID] = b
	}
	for _, k := range slices.Concat(u.services, u.batch) {
		w.kinds[k.Name] = k
	}
	w.figures = newFigures(w)
	w.owner = newOwner(w)
	w.submit = w.owner.submit
	w.placeReplicas()
	for i := range entryHosts {
		w.entries = append(w.entries, newEntry(w, i, seed))
	}
	for _, s := range w.services {
		for _, k := range u.batch {
			// Most works are mild beside a service; a few pairs are severe.
			w.pairs[[2]string{s.Name, k.Name}] = 0.02 + 0.06*w.truth.Float64()
		}
		w.pairs[[2]string{s.Name, forecast}] = 0.1 + 0.2*w.truth.Float64()
	}
	return w
}

// placeReplicas places the replicas of services and feeds before any batch task.
func (w *world) placeReplicas() {
	for _, k := range w.user.replicas {
		for i := range k.ReplicasPerZone {
			t := placement.Task{
				ID: fmt.Sprintf("%s-%d", k.Name, i), Kind: k.Kind, Resources: k.Resources, Team: k.Team, Work: k.Name,
			}
			d, err := w.owner.placer.Place(w.owner.view(), t)
			if err != nil {
				panic(err) // the users' notes fit their own workers
			}
			b := w.byID[d.Worker]
			b.replicas = append(b.replicas, k.Name)
			w.owner.replicas[d.Worker] = append(w.owner.replicas[d.Worker], placement.Held{Task: t})
			if !slices.Contains(w.hosting[k.Name], b) {
				w.hosting[k.Name] = append(w.hosting[k.Name], b)
			}
		}
	}
}

func (w *world) run() {
	w.owner.begin()
	for _, e := range w.entries {
		w.every(100*time.Millisecond, e.tick)
	}
	for _, s := range w.services {
		w.arrivals(w.baseRate(s), s.Name, w.end)
	}
	w.runUntil(w.end)
}

// baseRate is the rate of requests that keeps 30% of a service's reserved slots busy.
func (w *world) baseRate(s note.Work) float64 {
	return 0.3 * float64(s.Resources.Slots*int64(s.ReplicasPerZone)) / serviceTime(s).Seconds()
}

// arrivals sends requests as a Poisson stream until a time.
func (w *world) arrivals(perSecond float64, service string, until time.Time) {
	rng := rand.New(rand.NewPCG(w.truth.Uint64(), 3))
	n := 0
	var next func()
	next = func() {
		if w.now.After(until) {
			return
		}
		n++
		w.entries[n%entryHosts].arrive(service)
		w.after(poisson(rng, perSecond*w.loadShift(w.now.Sub(epoch))), next)
	}
	w.after(poisson(rng, perSecond), next)
}

func poisson(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}

func serviceTime(s note.Work) time.Duration {
	return time.Duration(float64(s.LatencyTarget.Duration) * serviceTimePart)
}

// slowdown is the true slowdown of a service on a worker now. It grows with the tasks of each batch work,
// with the load of the worker, and where the true usage exceeds the processors.
func (w *world) slowdown(b *backend, service string) float64 {
	load := float64(b.inFlight) / float64(b.Capacity.Slots)
	counts := map[string]int{}
	for _, t := range b.running {
		counts[t.Work]++
	}
	sum := 0.0
	for _, k := range w.user.batch {
		if n := counts[k.Name]; n > 0 {
			part := w.pairs[[2]string{service, k.Name}] * math.Sqrt(float64(n))
			if b.throttled == k.Name {
				part *= throttledSpeed
			}
			sum += part
		}
	}
	return (1 + sum*(0.5+1.5*load)) * w.overload(b)
}

// overload is how much everything on a worker is slowed because its tasks use more than its processors.
func (w *world) overload(b *backend) float64 {
	used := 0.0
	for _, h := range w.owner.replicas[b.ID] {
		used += float64(h.Resources.CPUMilli)
	}
	for _, t := range b.running {
		part := 1.0
		if b.throttled == t.Work {
			part = throttledSpeed
		}
		used += float64(t.Resources.CPUMilli) * orOne(w.trueCPU[t.Work]) * part
	}
	return max(1, used/float64(b.Capacity.CPUMilli))
}

func (w *world) measured() bool { return w.now.Sub(epoch) >= warmUp }

func orOne(f float64) float64 {
	if f == 0 {
		return 1
	}
	return f
}
