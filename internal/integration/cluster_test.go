package integration_test

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/worker"
	lr "github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// initialNote adds a service whose requests must not run twice, an idempotent service, a feed and a batch workload.
const initialNote = `
id = "first"
added = [
  {kind = "team", name = "rooms", quota = {cpu_milli = 400000, memory_mib = 800000, slots = 400, connections = 400}, share = 0.9},
  {kind = "service", name = "orders", team = "rooms", replicas_per_zone = 2, resources = {cpu_milli = 1000, memory_mib = 512, slots = 4}, share = 0.4},
  {kind = "service", name = "readings", team = "rooms", idempotent = true, replicas_per_zone = 2, resources = {cpu_milli = 1000, memory_mib = 512, slots = 4}, share = 0.4},
  {kind = "feed", name = "alarms", team = "rooms", idempotent = true, replicas_per_zone = 1, resources = {cpu_milli = 500, memory_mib = 512, connections = 16}, share = 0.1},
  {kind = "batch", name = "plan", team = "rooms", priority = 5, checkpoint_interval = "1s", resources = {cpu_milli = 4000, memory_mib = 4096}, run_time = "10m"},
]
`

// taskStart is a start request that a worker accepted, with the checkpoint from which the attempt resumes.
type taskStart struct {
	attempt    int64
	checkpoint time.Duration
	task       string
	worker     string
}

// zoneSize is the number of entry hosts and workers of a zone.
type zoneSize struct {
	name           string
	hosts, workers int
}

// clusterConfig describes the cluster that a test starts.
type clusterConfig struct {
	checkpointInterval   time.Duration // of batch tasks
	runTime, serviceTime time.Duration // actual run time of batch tasks, service time of requests
	settings             string        // TOML tables that are appended to the settings of each entry host
	tls                  *tls.Config
	token                string
	zones                []zoneSize
}

// cluster is a fake platform and fake workers in the test's process, and entry hosts in processes of their own.
type cluster struct {
	clusterConfig
	dir           string
	endpoint      string
	entries       []*entryHost
	http          *http.Client
	journal       *fake.Journal
	workerProxies map[string]*fake.Proxy // one in front of each worker, by worker id
	mu            sync.Mutex
	platform      *fake.Platform
	starts        []taskStart
	t             *testing.T
	workers       map[string]*fake.Worker
}

// startCluster starts the zones, publishes initialNote and waits until every entry host serves both services. At the end
// of the test it checks the invariants and stops all entry hosts, each of which must exit with code 0.
func startCluster(t *testing.T, config clusterConfig) *cluster {
	t.Helper()
	config.checkpointInterval = cmp.Or(config.checkpointInterval, defaultCheckpointInterval)
	config.runTime, config.serviceTime = cmp.Or(config.runTime, 500*time.Millisecond), cmp.Or(config.serviceTime, 5*time.Millisecond)
	c := &cluster{
		dir: t.TempDir(), clusterConfig: config, journal: fake.NewJournal(time.Now), workerProxies: map[string]*fake.Proxy{},
		http: &http.Client{
			Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, TLSClientConfig: config.tls},
		},
		platform: fake.NewPlatform(), t: t, workers: map[string]*fake.Worker{},
	}
	var err error
	c.endpoint, err = c.platform.Start()
	assert.NilError(t, err)
	t.Cleanup(c.checkAndStop)
	for _, z := range config.zones {
		for i := range z.workers {
			c.addWorker(fmt.Sprintf("%s-worker-%d", z.name, i+1), z.name)
		}
		for i := range z.hosts {
			c.addEntry(fmt.Sprintf("%s-entry-%d", z.name, i+1), z.name)
		}
	}
	c.publish(c.entries[0], initialNote)
	c.awaitServices(c.entries...)
	return c
}

func (c *cluster) addEntry(id, zone string) *entryHost {
	c.t.Helper()
	e := newEntry(c.t, c.dir, id, zone, c.endpoint, c.settings)
	e.options = []lr.Option{lr.WithToken(c.token)}
	if c.tls != nil {
		e.options = append(e.options, lr.WithTLS(c.tls))
	}
	c.platform.SetHost(fleet.Host{
		Address: e.callerAddress, ID: id, Kind: fleet.KindEntryHost, PeerAddress: e.proxies["peer"].Address(),
		State: fleet.StateLive, Zone: zone,
	})
	c.entries = append(c.entries, e)
	e.start(c.t)
	return e
}

func (c *cluster) addWorker(id, zone string) {
	c.t.Helper()
	w := fake.NewWorker(
		fake.WithID(id), fake.WithJournal(c.journal), fake.WithProfile(c.profileFor(id)),
		fake.WithFeedInterval(50*time.Millisecond),
		fake.WithServiceTime(func(string, *rand.Rand) time.Duration { return c.serviceTime }),
	)
	assert.NilError(c.t, w.Start())
	proxy, err := fake.NewProxy(w.Address(), 3)
	assert.NilError(c.t, err)
	c.workerProxies[id], c.workers[id] = proxy, w
	c.platform.SetHost(c.workerRecord(id, zone))
}

func (c *cluster) workerRecord(id, zone string) fleet.Host {
	return fleet.Host{
		Address: c.workerProxies[id].Address(), ID: id, Kind: fleet.KindWorker, Rack: id, State: fleet.StateLive, Zone: zone,
		Capacity: fleet.Resources{Connections: 64, CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8},
	}
}

// profileFor returns a profile function for a worker, which records each start and gives batch tasks the run time and
// checkpoint interval of the test.
func (c *cluster) profileFor(id string) func(worker.StartRequest) fake.Profile {
	return func(in worker.StartRequest) fake.Profile {
		c.mu.Lock()
		defer c.mu.Unlock()
		checkpoint := time.Duration(in.Checkpoint) * time.Millisecond
		c.starts = append(c.starts, taskStart{attempt: in.Attempt, checkpoint: checkpoint, task: in.Task, worker: id})
		p := fake.DeclaredProfile(in)
		p.CheckpointInterval, p.RunTime = c.checkpointInterval, c.runTime
		return p
	}
}

// publish publishes a note at an entry host, with retries, and returns its revision.
func (c *cluster) publish(e *entryHost, text string) int64 {
	c.t.Helper()
	var revision int64
	eventually(c.t, "publishing at "+e.id, func() error {
		done, err := e.client(c.t).Publish(context.Background(), []byte(text))
		revision = done.Revision
		return err
	})
	return revision
}

// awaitServices waits until each of the entry hosts answers requests for both services.
func (c *cluster) awaitServices(entries ...*entryHost) {
	c.t.Helper()
	for _, e := range entries {
		for _, service := range []string{"orders", "readings"} {
			eventually(c.t, service+" at "+e.id, func() error { return c.send(e, service, "").checkDone() })
		}
	}
}

// runningEntries returns the entry hosts whose process runs.
func (c *cluster) runningEntries() []*entryHost {
	return slices.DeleteFunc(slices.Clone(c.entries), func(e *entryHost) bool { return !e.isRunning() })
}

// owner returns the entry host that owns the zone's shard according to the status of via.
func (c *cluster) owner(zone string, via *entryHost) *entryHost {
	c.t.Helper()
	var out *entryHost
	eventually(c.t, "owner of "+zone, func() error {
		s, err := via.client(c.t).Status(context.Background())
		if err != nil {
			return err
		}
		for _, shard := range s.Shards {
			i := slices.IndexFunc(c.entries, func(e *entryHost) bool { return e.id == shard.Owner })
			if shard.Zone == zone && i >= 0 {
				out = c.entries[i]
				return nil
			}
		}
		return eris.Errorf("no known owner in %v", s.Shards)
	})
	return out
}

// ownerAndOther returns the owner of the zone's shard and another running entry host of the zone.
func (c *cluster) ownerAndOther(zone string) (owner, other *entryHost) {
	c.t.Helper()
	owner = c.owner(zone, c.runningEntries()[0])
	for _, e := range c.runningEntries() {
		if e.zone == zone && e != owner {
			return owner, e
		}
	}
	c.t.Fatal("no other entry host in " + zone)
	return nil, nil
}

// awaitTakeover waits until via reports an owner of the zone's shard other than old.
func (c *cluster) awaitTakeover(old, via *entryHost) {
	c.t.Helper()
	eventually(c.t, "takeover from "+old.id, func() error {
		return errorUnless(c.owner(old.zone, via) != old, "it is still the owner")
	})
}

// submit submits a job of the batch workload for the zone of the entry host, with retries.
func (c *cluster) submit(e *entryHost, id string, tasks int) {
	c.t.Helper()
	eventually(c.t, "submitting "+id, func() error {
		_, err := e.client(c.t).SubmitJob(context.Background(), lr.JobSpec{ID: id, Tasks: tasks, Work: "plan", Zone: e.zone})
		return err
	})
}

// awaitJob waits until the numbers of a job's tasks by phase meet the condition.
func (c *cluster) awaitJob(e *entryHost, id, what string, cond func(lr.PhaseCounts) bool) {
	c.t.Helper()
	eventually(c.t, "job "+id+" "+what, func() error {
		job, err := e.client(c.t).Job(context.Background(), id)
		return errorUnless(err == nil && cond(job.Counts), "%+v (%v)", job, err)
	})
}

func (c *cluster) awaitDone(e *entryHost, id string, tasks int) {
	c.t.Helper()
	c.awaitJob(e, id, "done", func(n lr.PhaseCounts) bool { return n.Done == tasks })
}

func (c *cluster) awaitRunning(e *entryHost, id string, tasks int) {
	c.t.Helper()
	c.awaitJob(e, id, "running", func(n lr.PhaseCounts) bool { return n.Running == tasks })
}

// awaitRevision waits until each of the entry hosts reports that it has applied the revision or a later one.
func (c *cluster) awaitRevision(revision int64, entries ...*entryHost) {
	c.t.Helper()
	for _, e := range entries {
		eventually(c.t, fmt.Sprintf("revision %d at %s", revision, e.id), func() error {
			applied, err := c.revision(e)
			return errorUnless(err == nil && applied >= revision, "applied revision is %d (%v)", applied, err)
		})
	}
}

// revision returns the revision that an entry host reports as applied.
func (c *cluster) revision(e *entryHost) (int64, error) {
	in, err := e.client(c.t).InForce(context.Background(), "")
	if err != nil {
		return 0, err
	}
	for _, h := range in.Hosts {
		if h.Host == e.id {
			return h.Revision, nil
		}
	}
	return 0, eris.Errorf("%s does not list itself: %v", e.id, in.Hosts)
}

// checkAndStop checks the invariants, terminates the entry hosts and checks their exit codes and logs, and stops all
// fakes. If the test failed it prints the end of each log.
func (c *cluster) checkAndStop() {
	checked := c.checkInvariants()
	var all sync.WaitGroup
	for _, e := range c.runningEntries() {
		all.Go(func() {
			_ = e.process.Process.Signal(syscall.SIGCONT)
			if code := e.terminate(c.t); code != 0 {
				c.t.Errorf("%s exited with code %d after SIGTERM", e.id, code)
			}
		})
	}
	all.Wait()
	if !checked && !c.t.Failed() && !c.t.Skipped() {
		c.t.Error("no invariant was checked by any entry host")
	}
	for _, e := range c.entries {
		text := e.tail(math.MaxInt32)
		for _, pattern := range []string{"WARNING: DATA RACE", "panic:", "invariant violated"} {
			if _, after, ok := strings.Cut(text, pattern); ok {
				c.t.Errorf("%s: %s%.6000s", e.id, pattern, after)
			}
		}
		for _, proxy := range e.proxies {
			proxy.Stop()
		}
	}
	for id, proxy := range c.workerProxies {
		proxy.Stop()
		c.workers[id].Kill()
	}
	c.platform.Stop()
	if c.t.Failed() {
		for _, e := range c.entries {
			c.t.Logf("log of %s:\n%s", e.id, e.tail(50))
		}
	}
}

// checkInvariants reports the violations in the workers' journal and in the counters of the entry hosts. It returns
// whether any entry host has checked an invariant at all.
func (c *cluster) checkInvariants() bool {
	for _, violation := range c.journal.Check() {
		c.t.Error(violation)
	}
	for _, violation := range c.checkResumes() {
		c.t.Error(violation)
	}
	anyChecked := false
	for _, e := range c.runningEntries() {
		_ = e.process.Process.Signal(syscall.SIGCONT)
		violations, checked, err := e.violations()
		if err != nil || len(violations) > 0 {
			c.t.Errorf("%s: invariant violations %v (%v)", e.id, violations, err)
		}
		anyChecked = anyChecked || checked
	}
	return anyChecked
}

// checkResumes returns the attempts that did not resume from the last checkpoint of the previous attempt on the same
// worker. Attempts that moved to another worker are not compared, since the end of the previous one need not have been
// reported by its worker.
func (c *cluster) checkResumes() []string {
	runs := c.journal.Runs()
	slices.SortFunc(runs, func(a, b fake.Run) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	checkpoints := map[string]time.Duration{}
	for _, s := range c.starts {
		checkpoints[fmt.Sprint(s.task, s.attempt, s.worker)] = s.checkpoint
	}
	var out []string
	for i, r := range runs {
		if i == 0 || runs[i-1].Task != r.Task || runs[i-1].Worker != r.Worker || r.Work != "plan" {
			continue
		}
		p := runs[i-1]
		reached := checkpoints[fmt.Sprint(p.Task, p.Attempt, p.Worker)] + p.End.Sub(p.Start)
		// The journal records the start slightly after the worker has begun to count progress, hence a tolerance of one
		// interval.
		want := reached.Truncate(defaultCheckpointInterval) - defaultCheckpointInterval
		if got := checkpoints[fmt.Sprint(r.Task, r.Attempt, r.Worker)]; got < want || got > reached+defaultCheckpointInterval {
			out = append(out, fmt.Sprintf("task %s: attempt %d resumed from progress %s, but attempt %d reached %s",
				r.Task, r.Attempt, got, p.Attempt, reached))
		}
	}
	return out
}
