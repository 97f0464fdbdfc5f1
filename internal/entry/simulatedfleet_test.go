package entry_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/settings"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Spans from the rules that callers and operators rely on.
const (
	// contactTime is how long machines and store must be without disturbance before rules with a time bound hold.
	contactTime = 4 * time.Second
	// restartGrace and restartWindow bound how long a long-running task may have nothing running.
	restartGrace  = 6 * time.Second
	restartWindow = 3 * time.Second
)

// Model of the simulated hosts. An owner needs about 1.6 thousandths of a core for each worker whose tasks are short, as
// played days show: a worker with 0.6 ends a second has 1.2 polls and 0.6 starts.
const (
	callCost   = 900 * time.Microsecond
	recordCost = 100 * time.Microsecond
	// modelledWorkers is the number of workers in a shard for which these costs are meant. A smaller shard has calls that cost
	// more.
	modelledWorkers = 163
	storeLatency    = 4 * time.Millisecond
	// shortTaskDuration is how long a task runs that is not long-running.
	shortTaskDuration = 900 * time.Millisecond
)

// simulatedHost is an entry host without listeners, with the processor time of its strength.
type simulatedHost struct {
	cancel context.CancelFunc
	daemon *entry.Host
	done   chan struct{}
	fleet  *simulatedFleet
	isCut  atomic.Bool
	// isStopping is set once the host is to be stopped.
	isStopping atomic.Bool
	name       string
	// processor is held while the host computes.
	processor chan struct{}
	// slowdown is the factor by which the host is slower than its strength; 0 counts as 1.
	slowdown atomic.Int64
	// waiting is the number of calls that compute or wait for it.
	waiting  atomic.Int64
	strength float64
}

// use takes processor time of the host, after everything else that waits for it. What is given up before its turn takes none.
func (h *simulatedHost) use(ctx context.Context, cost time.Duration) {
	h.waiting.Add(1)
	defer h.waiting.Add(-1)
	select {
	case <-ctx.Done():
	case h.processor <- struct{}{}:
		time.Sleep(time.Duration(float64(cost) * float64(max(h.slowdown.Load(), 1)) / h.strength))
		<-h.processor
	}
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, retry.ShortestTimer))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// callStore makes a call to the store, which gets no answer while the store is down or this host is cut off.
func (h *simulatedHost) callStore(ctx context.Context, onSilence error, call func() error) error {
	latency := h.fleet.storeLatency
	sleep(ctx, latency/2+time.Duration(h.fleet.int(int(latency/2))))
	if ctx.Err() != nil {
		return onSilence
	}
	if h.fleet.store.isDown() || h.isCut.Load() {
		<-ctx.Done()
		return onSilence
	}
	err := call()
	sleep(ctx, latency/2)
	if ctx.Err() != nil || h.isCut.Load() {
		return onSilence
	}
	return err
}

// simulatedFleet is a store, workers and hosts in a synctest bubble.
type simulatedFleet struct {
	callCost time.Duration
	// changePlatform, if set, changes the platform of the hosts that are started.
	changePlatform func(*entry.Platform)
	hosts          map[string]*simulatedHost
	log            io.Writer
	// maxLease is the longest lease of workers that hosts are told; 0 stands for the default.
	maxLease time.Duration
	// logHook, if set, receives the log entries of the hosts that are started.
	logHook logrus.Hook
	mu      sync.Mutex
	// peerDelay is set by setPeerDelay.
	peerDelay func(to string, m peer.Message) time.Duration
	random    *rand.Rand
	shards    int
	// stopLoad ends the load of short jobs.
	stopLoad     context.CancelFunc
	store        *memoryStore
	storeLatency time.Duration
	t            *testing.T
	tasks        *taskLog
	workers      map[string]*simulatedWorker
}

// newSimulatedFleet returns a fleet without hosts, whose shards have the same number of workers each. Hosts that run when the test
// ends are stopped: a test that fails half-way would otherwise leave goroutines, and the panic of its bubble would end the other
// tests of the package.
func newSimulatedFleet(t *testing.T, seed uint64, shards, workersPerShard int) *simulatedFleet {
	f := &simulatedFleet{
		callCost: callCost * modelledWorkers / time.Duration(workersPerShard),
		hosts:    map[string]*simulatedHost{}, log: io.Discard, random: rand.New(rand.NewPCG(seed, 1)), shards: shards,
		store: newMemoryStore(), storeLatency: storeLatency, t: t, tasks: newTaskLog(), workers: map[string]*simulatedWorker{},
	}
	racks := map[string]int{}
	for n := range shards {
		racks[rackName(n)] = n
		for i := range workersPerShard {
			id := fmt.Sprintf("servers/w%d-%d", n, i)
			f.workers[id] = newSimulatedWorker(id, rackName(n), f.tasks)
			f.register(id)
		}
	}
	f.store.put("op/config", nil)
	key, value := entry.LayoutRecord(shards, racks)
	f.store.put(key, value)
	t.Cleanup(func() {
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
	})
	return f
}

func rackName(shard int) string { return fmt.Sprintf("rack-%d", shard) }

func (f *simulatedFleet) int(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *simulatedFleet) platform(h *simulatedHost) entry.Platform {
	call := func(ctx context.Context, do func() shard.Reply) shard.Reply {
		h.use(ctx, f.callCost)
		if ctx.Err() != nil {
			return shard.Reply{Outcome: shard.OutcomeNotSent}
		}
		sleep(ctx, storeLatency/2)
		return do()
	}
	return entry.Platform{
		ConfigKey: "op/config",
		DecodeConfig: func(data []byte) (workflow.Config, error) {
			return workflow.NewConfig(1+int64(len(data)), []workflow.Queue{{Name: "q", Service: "s", MaxAttempts: simulatedMaxAttempts, Stretch: 2, TargetLatency: time.Second}},
				[]workflow.Service{{Name: "s"}}, workflow.Limits{}), nil
		},
		DecodeEvacuation: func(key string) (string, error) {
			if zone := strings.TrimPrefix(key, evacuationPrefix); zone != "" {
				return zone, nil
			}
			return "", errNoZone
		},
		EvacuationPrefix: evacuationPrefix, OperatorPrefix: "op/",
		DecodeWorker: f.decodeWorker,
		Poll: func(ctx context.Context, p shard.Poll) (shard.Listing, shard.Outcome) {
			h.use(ctx, f.callCost)
			if ctx.Err() != nil {
				return shard.Listing{}, shard.OutcomeNotSent
			}
			return f.workers[p.Worker].handlePoll(ctx, p)
		},
		Pace: func(context.Context, shard.Pace) shard.Reply { return shard.Reply{Outcome: shard.OutcomeDone} },
		Start: func(ctx context.Context, s shard.Start) shard.Reply {
			return call(ctx, func() shard.Reply { return f.workers[s.Worker].handleStart(ctx, s) })
		},
		Stop: func(ctx context.Context, s shard.Stop) shard.Reply {
			return call(ctx, func() shard.Reply { return f.workers[s.Worker].handleStop(ctx, s) })
		},
		Store:        f.store.client(h),
		WorkerPrefix: "servers/",
	}
}

// start starts the process of a host.
func (f *simulatedFleet) start(name string, strength float64) *simulatedHost {
	h := &simulatedHost{done: make(chan struct{}), fleet: f, name: name, processor: make(chan struct{}, 1), strength: strength}
	s := settings.Default()
	s.Host, s.Listen.Peer, s.Zone, s.Platform.Strength = name, name, "z", strength
	s.Worker.MaxLease.Duration = f.maxLease
	log := logrus.New()
	log.SetOutput(f.log)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "05.000"})
	if f.logHook != nil {
		log.AddHook(f.logHook)
	}
	p := f.platform(h)
	if f.changePlatform != nil {
		f.changePlatform(&p)
	}
	h.daemon = entry.NewInVirtualTime(s, p, log)
	h.daemon.SetRequest(h.requestPeer)
	ctx, cancel := context.WithCancel(f.t.Context())
	h.cancel = cancel
	f.mu.Lock()
	f.hosts[name] = h
	f.mu.Unlock()
	go func() {
		h.daemon.RunWithoutListeners(ctx)
		close(h.done)
	}()
	return h
}

// kill ends the process of a host. Its lease stays until it expires.
func (f *simulatedFleet) kill(names ...string) {
	for _, name := range names {
		h := f.host(name)
		h.isCut.Store(true)
		h.cancel()
	}
	for _, name := range names {
		<-f.host(name).done
		f.mu.Lock()
		delete(f.hosts, name)
		f.mu.Unlock()
	}
}

func (f *simulatedFleet) host(name string) *simulatedHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[name]
}

func (f *simulatedFleet) names() []string {
	var out []string
	for name := range f.hosts {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// owners returns the shards that each host owns, by the keys in the store.
func (f *simulatedFleet) owners() map[string]int {
	kvs, _ := f.store.readRange(entry.OwnerPrefix)
	out := map[string]int{}
	for _, kv := range kvs {
		name, err := entry.RecordedHost(kv.Value)
		assert.NilError(f.t, err)
		out[name]++
	}
	return out
}

// ownershipFault describes a shard without an owner, or a host that owns several shards while one as strong owns none; "" if
// there is neither.
func (f *simulatedFleet) ownershipFault() string {
	owners, total := f.owners(), 0
	for name, n := range owners {
		total += n
		for _, h := range f.hosts {
			if o := f.hosts[name]; n > 1 && o != nil && owners[h.name] == 0 && h.strength >= o.strength {
				return fmt.Sprintf("%s (strength %g) owns %d shards while %s (strength %g) owns none", name, o.strength, n, h.name, h.strength)
			}
		}
	}
	if total < f.shards {
		return fmt.Sprintf("%d of %d shards have an owner", total, f.shards)
	}
	return ""
}

// ownerHistory describes the changes of owners since a time.
func (f *simulatedFleet) ownerHistory(since time.Time) string {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var out []string
	for _, e := range f.store.events {
		key, ok := strings.CutPrefix(e.KV.Key, entry.OwnerPrefix)
		if !ok || e.at.Before(since) {
			continue
		}
		name := "none"
		if !e.Deleted {
			name, _ = entry.RecordedHost(e.KV.Value)
		}
		out = append(out, fmt.Sprintf("%.3f %s:%s", e.at.Sub(since).Seconds(), key, name))
	}
	return strings.Join(out, "  ")
}

// addLongRunning hands in a long-running job of a number of tasks for each shard.
func (f *simulatedFleet) addLongRunning(tasks int) {
	for n := range f.shards {
		id := fmt.Sprintf("f%015d", n)
		f.tasks.expect(id, tasks)
		f.addJob(n, workflow.Job{ID: id, Queue: "q", Steps: []workflow.Step{{
			Count: tasks, LongRunning: true, Resources: fleet.Resources{CPUMilli: 500, MemoryMiB: 10}, Rack: rackName(n),
		}}})
	}
}

func (f *simulatedFleet) addJob(shard int, j workflow.Job) {
	f.tasks.addJob(j)
	for key, value := range entry.JobRecords(shard, j) {
		f.store.put(key, value)
	}
}

// runLoad hands in short jobs for all shards until ctx ends. With 100 ended tasks a second in a shard of 163 workers, an owner
// needs 1.6 thousandths of a core for each worker.
func (f *simulatedFleet) runLoad(ctx context.Context, jobsPerSecond, tasks int) {
	for i := 0; ctx.Err() == nil; i++ {
		if f.store.isDown() {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		n := i % f.shards
		f.addJob(n, workflow.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Steps: []workflow.Step{{
			Count: tasks, Estimate: time.Second, Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 10}, Rack: rackName(n),
		}}})
		sleep(ctx, time.Second/time.Duration(jobsPerSecond*f.shards))
	}
}
