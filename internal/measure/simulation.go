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
	zone           = "zone"
	entryHostCount = 2
	// warmUp is the time at the start of a run in which requests, latencies, task starts and finished tasks don't count.
	// Attempts, evictions and quarantines count from the start.
	warmUp = time.Minute
	// serviceTimeLogSigma is the standard deviation of the logarithm of the log-normal service times.
	serviceTimeLogSigma = 0.3
)

// simWorker is the stand-in of a worker. It holds what reports, routing and placement can observe, and the true state
// from which slowdowns and failures follow.
type simWorker struct {
	fleet.Host
	// failsAll is set if every request and every task on the worker fails at once. Such a worker is called bad.
	failsAll bool
	// down is set while the worker restarts and refuses connections.
	down          bool
	inFlight      int
	latencies     map[string][]time.Duration // by service, since the last report
	replicaNames  []string
	running       []*task
	slotSeconds   map[string]float64 // by service, of answered attempts
	throttledWork string             // the batch work that is throttled, or empty
}

// simulation is the state of one run: one zone with its workers, entry hosts and shard owner.
type simulation struct {
	clock
	workers            []*simWorker
	workerByID         map[string]*simWorker
	end                time.Time
	entryHosts         []*entryHost
	recorder           *recorder
	workersByService   map[string][]*simWorker // workers with a replica
	workByName         map[string]note.Work
	owner              *shardOwner
	interferenceByPair map[[2]string]float64 // relative slowdown by one task, by service and batch work
	rng                *rand.Rand
	services           []note.Work
	submitJob          func(work string, change func(*task))
	truthRNG           *rand.Rand         // draws the true conditions, which no policy sees, and seeds the arrivals
	trueCPUFactor      map[string]float64 // true processor usage of a batch work / declared; unset means 1
	trueRunTimeFactor  map[string]float64 // true run time of a batch work / declared; unset means 1
	user               user
	variant            variant
	loadFactor         func(elapsed time.Duration) float64
}

func newSimulation(u user, v variant, seed uint64, length time.Duration) *simulation {
	sim := &simulation{
		workerByID: map[string]*simWorker{}, clock: clock{now: runStart}, end: runStart.Add(length), workersByService: map[string][]*simWorker{},
		workByName: map[string]note.Work{}, interferenceByPair: map[[2]string]float64{}, rng: rand.New(rand.NewPCG(seed, 1)),
		services: u.services, trueCPUFactor: map[string]float64{}, trueRunTimeFactor: map[string]float64{},
		truthRNG: rand.New(rand.NewPCG(seed, 2)), user: u, variant: v,
		loadFactor: func(time.Duration) float64 { return 1 },
	}
	for i := range u.workerCount {
		w := &simWorker{
			Host: fleet.Host{
				Capacity: u.workerCapacity, ID: fmt.Sprintf("w%03d", i+1), Kind: fleet.KindWorker,
				Rack: fmt.Sprintf("r%d", i/u.workersPerRack), State: fleet.StateLive, Zone: zone,
			},
			latencies: map[string][]time.Duration{}, slotSeconds: map[string]float64{},
		}
		sim.workers = append(sim.workers, w)
		sim.workerByID[w.ID] = w
	}
	for _, k := range slices.Concat(u.services, u.batch) {
		sim.workByName[k.Name] = k
	}
	sim.recorder = newRecorder(sim)
	sim.owner = newShardOwner(sim)
	sim.submitJob = sim.owner.submitJob
	sim.placeReplicas()
	for i := range entryHostCount {
		sim.entryHosts = append(sim.entryHosts, newEntryHost(sim, i, seed))
	}
	for _, s := range sim.services {
		for _, k := range u.batch {
			// Most batch works slow services mildly; forecast, set below, slows them severely.
			sim.interferenceByPair[[2]string{s.Name, k.Name}] = 0.02 + 0.06*sim.truthRNG.Float64()
		}
		sim.interferenceByPair[[2]string{s.Name, forecast}] = 0.1 + 0.2*sim.truthRNG.Float64()
	}
	return sim
}

// placeReplicas places the replicas of services and feeds on the empty workers.
func (sim *simulation) placeReplicas() {
	for _, k := range sim.user.replicated {
		for i := range k.ReplicasPerZone {
			t := placement.Task{
				ID: fmt.Sprintf("%s-%d", k.Name, i), Kind: k.Kind, Resources: k.Resources, Team: k.Team, Work: k.Name,
			}
			d, err := sim.owner.placer.Place(sim.owner.view(), t)
			if err != nil {
				panic(err) // the users' notes fit their own workers
			}
			w := sim.workerByID[d.Worker]
			w.replicaNames = append(w.replicaNames, k.Name)
			sim.owner.replicas[d.Worker] = append(sim.owner.replicas[d.Worker], placement.PlacedTask{Task: t})
			if !slices.Contains(sim.workersByService[k.Name], w) {
				sim.workersByService[k.Name] = append(sim.workersByService[k.Name], w)
			}
		}
	}
}

func (sim *simulation) run() {
	sim.owner.start()
	for _, e := range sim.entryHosts {
		sim.every(100*time.Millisecond, e.tick)
	}
	for _, s := range sim.services {
		sim.generateRequests(sim.baseRequestRate(s), s.Name, sim.end)
	}
	sim.runUntil(sim.end)
}

// baseRequestRate returns the requests per second that keep 30% of a service's reserved slots busy.
func (sim *simulation) baseRequestRate(s note.Work) float64 {
	return 0.3 * float64(s.Resources.Slots*int64(s.ReplicasPerZone)) / meanServiceTime(s).Seconds()
}

// generateRequests sends requests to the entry hosts in turn until a time, as a Poisson process whose rate is scaled by
// loadFactor.
func (sim *simulation) generateRequests(perSecond float64, service string, until time.Time) {
	rng := rand.New(rand.NewPCG(sim.truthRNG.Uint64(), 3))
	n := 0
	var next func()
	next = func() {
		if sim.now.After(until) {
			return
		}
		n++
		sim.entryHosts[n%entryHostCount].receive(service)
		sim.after(exponentialInterval(rng, perSecond*sim.loadFactor(sim.now.Sub(runStart))), next)
	}
	sim.after(exponentialInterval(rng, perSecond), next)
}

// exponentialInterval returns a random interval of a Poisson process.
func exponentialInterval(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}

// meanServiceTime returns the mean service time of a request without interference.
func meanServiceTime(s note.Work) time.Duration {
	return time.Duration(float64(s.LatencyTarget.Duration) * serviceTimeFraction)
}

// trueSlowdown returns the factor by which service times on a worker are longer now than without interference. It grows
// with the square root of the number of tasks of each batch work, with the requests in flight, and with cpuOverload.
func (sim *simulation) trueSlowdown(w *simWorker, service string) float64 {
	load := float64(w.inFlight) / float64(w.Capacity.Slots)
	counts := map[string]int{}
	for _, t := range w.running {
		counts[t.Work]++
	}
	sum := 0.0
	for _, k := range sim.user.batch {
		if n := counts[k.Name]; n > 0 {
			contribution := sim.interferenceByPair[[2]string{service, k.Name}] * math.Sqrt(float64(n))
			if w.throttledWork == k.Name {
				contribution *= throttledSpeed
			}
			sum += contribution
		}
	}
	return (1 + sum*(0.5+1.5*load)) * sim.cpuOverload(w)
}

// cpuOverload returns the true processor usage on a worker divided by its processors, and at least 1. Everything on the
// worker is slower by this factor.
func (sim *simulation) cpuOverload(w *simWorker) float64 {
	usedMilli := 0.0
	for _, h := range sim.owner.replicas[w.ID] {
		usedMilli += float64(h.Resources.CPUMilli)
	}
	for _, t := range w.running {
		speed := 1.0
		if w.throttledWork == t.Work {
			speed = throttledSpeed
		}
		usedMilli += float64(t.Resources.CPUMilli) * oneIfZero(sim.trueCPUFactor[t.Work]) * speed
	}
	return max(1, usedMilli/float64(w.Capacity.CPUMilli))
}

func (sim *simulation) pastWarmUp() bool { return sim.now.Sub(runStart) >= warmUp }

func oneIfZero(f float64) float64 {
	if f == 0 {
		return 1
	}
	return f
}
