package integration_test

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"math"
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
	hostlist "github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/worker"
	lr "github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// firstNote holds a service that must not run twice, one that may, a feed and a batch work.
const firstNote = `
id = "first"
added = [
  {kind = "team", name = "rooms", quota = {cpu_milli = 400000, memory_mib = 800000, slots = 400, connections = 400}, share = 0.9},
  {kind = "service", name = "orders", team = "rooms", replicas_per_zone = 2, resources = {cpu_milli = 1000, memory_mib = 512, slots = 4}, share = 0.4},
  {kind = "service", name = "readings", team = "rooms", idempotent = true, replicas_per_zone = 2, resources = {cpu_milli = 1000, memory_mib = 512, slots = 4}, share = 0.4},
  {kind = "feed", name = "alarms", team = "rooms", idempotent = true, replicas_per_zone = 1, resources = {cpu_milli = 500, memory_mib = 512, connections = 16}, share = 0.1},
  {kind = "batch", name = "plan", team = "rooms", priority = 5, checkpoint_interval = "1s", resources = {cpu_milli = 4000, memory_mib = 4096}, run_time = "10m"},
]
`

// resume is a start of a task that an earlier attempt had begun.
type resume struct {
	attempt int64
	from    time.Duration
	task    string
	worker  string
}

// zone names a zone with its numbers of entry hosts and workers.
type zone struct {
	name           string
	hosts, workers int
}

// fleet describes what a test starts; runTime is the true run time of batch tasks, and settings adds tables to the
// settings of the entry hosts.
type fleet struct {
	runTime, serviceTime time.Duration
	settings             string
	tls                  *tls.Config
	token                string
	zones                []zone
}

// cluster is a platform stand-in and workers in the test's process, and entry hosts in processes of their own.
type cluster struct {
	fleet
	dir      string
	endpoint string
	entries  []*entry
	http     *http.Client
	journal  *fake.Journal
	links    map[string]*fake.Proxy // to workers
	mu       sync.Mutex
	platform *fake.Platform
	starts   []resume
	t        *testing.T
	workers  map[string]*fake.Worker
}

// startFleet starts zones, publishes firstNote and waits until every entry host answers for every service. When
// the test ends it asserts the invariants and that all entry hosts stop gracefully.
func startFleet(t *testing.T, f fleet) *cluster {
	t.Helper()
	f.runTime, f.serviceTime = cmp.Or(f.runTime, 500*time.Millisecond), cmp.Or(f.serviceTime, 5*time.Millisecond)
	c := &cluster{
		dir: t.TempDir(), fleet: f, journal: fake.NewJournal(time.Now), links: map[string]*fake.Proxy{},
		http: &http.Client{
			Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, TLSClientConfig: f.tls},
		},
		platform: fake.NewPlatform(), t: t, workers: map[string]*fake.Worker{},
	}
	var err error
	c.endpoint, err = c.platform.Start()
	assert.NilError(t, err)
	t.Cleanup(c.stop)
	for _, z := range f.zones {
		for i := range z.workers {
			c.addWorker(fmt.Sprintf("%s-worker-%d", z.name, i+1), z.name)
		}
		for i := range z.hosts {
			c.addEntry(fmt.Sprintf("%s-entry-%d", z.name, i+1), z.name)
		}
	}
	c.publish(c.entries[0], firstNote)
	c.awaitServices(c.entries...)
	return c
}

func (c *cluster) addEntry(id, zone string) *entry {
	c.t.Helper()
	e := newEntry(c.t, c.dir, id, zone, c.endpoint, c.settings)
	e.options = []lr.Option{lr.WithToken(c.token)}
	if c.tls != nil {
		e.options = append(e.options, lr.WithTLS(c.tls))
	}
	c.platform.SetHost(hostlist.Host{
		Address: e.caller, ID: id, Kind: hostlist.KindEntryHost, PeerAddress: e.links["peer"].Address(),
		State: hostlist.StateLive, Zone: zone,
	})
	c.entries = append(c.entries, e)
	e.start(c.t)
	return e
}

func (c *cluster) addWorker(id, zone string) {
	c.t.Helper()
	w := fake.NewWorker(
		fake.WithID(id), fake.WithJournal(c.journal), fake.WithProfile(c.profile(id)), fake.WithServiceTime(c.served),
		fake.WithFeedInterval(50*time.Millisecond),
	)
	assert.NilError(c.t, w.Start())
	link, err := fake.NewProxy(w.Address(), 3)
	assert.NilError(c.t, err)
	c.links[id], c.workers[id] = link, w
	c.platform.SetHost(c.workerRecord(id, zone))
}

func (c *cluster) workerRecord(id, zone string) hostlist.Host {
	return hostlist.Host{
		Address: c.links[id].Address(), ID: id, Kind: hostlist.KindWorker, Rack: id, State: hostlist.StateLive, Zone: zone,
		Capacity: hostlist.Resources{Connections: 64, CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8},
	}
}

// profile records where the attempts of batch tasks resume and makes them run for the cluster's run time.
func (c *cluster) profile(id string) func(worker.StartRequest) fake.Profile {
	return func(in worker.StartRequest) fake.Profile {
		c.mu.Lock()
		defer c.mu.Unlock()
		from := time.Duration(in.Checkpoint) * time.Millisecond
		c.starts = append(c.starts, resume{attempt: in.Attempt, from: from, task: in.Task, worker: id})
		p := fake.DeclaredProfile(in)
		p.CheckpointInterval, p.RunTime = checkpointInterval, c.runTime
		return p
	}
}

// publish publishes a note and returns its revision.
func (c *cluster) publish(e *entry, text string) int64 {
	c.t.Helper()
	var revision int64
	eventually(c.t, "publishing at "+e.id, func() error {
		done, err := e.client(c.t).Publish(context.Background(), []byte(text))
		revision = done.Revision
		return err
	})
	return revision
}

func (c *cluster) awaitServices(entries ...*entry) {
	c.t.Helper()
	for _, e := range entries {
		for _, service := range []string{"orders", "readings"} {
			eventually(c.t, service+" at "+e.id, func() error { return c.ask(e, service, "").failure() })
		}
	}
}

// live returns the entry hosts that run.
func (c *cluster) live() []*entry {
	return slices.DeleteFunc(slices.Clone(c.entries), func(e *entry) bool { return !e.isRunning() })
}

// owner returns the entry host that owns the zone's shard, as ask says.
func (c *cluster) owner(zone string, ask *entry) *entry {
	c.t.Helper()
	var out *entry
	eventually(c.t, "owner of "+zone, func() error {
		s, err := ask.client(c.t).Status(context.Background())
		if err != nil {
			return err
		}
		for _, shard := range s.Shards {
			i := slices.IndexFunc(c.entries, func(e *entry) bool { return e.id == shard.Owner })
			if shard.Zone == zone && i >= 0 {
				out = c.entries[i]
				return nil
			}
		}
		return eris.Errorf("none in %v", s.Shards)
	})
	return out
}

// roles returns the owner of the zone's shard and another entry host of the zone.
func (c *cluster) roles(zone string) (owner, other *entry) {
	c.t.Helper()
	owner = c.owner(zone, c.live()[0])
	for _, e := range c.live() {
		if e.zone == zone && e != owner {
			return owner, e
		}
	}
	c.t.Fatal("no other entry host in " + zone)
	return nil, nil
}

// awaitTakeover waits until an entry host other than old owns the shard of its zone.
func (c *cluster) awaitTakeover(old, ask *entry) {
	c.t.Helper()
	eventually(c.t, "takeover from "+old.id, func() error {
		return want(c.owner(old.zone, ask) != old, "it is the owner still")
	})
}

func (c *cluster) submit(e *entry, id string, tasks int) {
	c.t.Helper()
	eventually(c.t, "submitting "+id, func() error {
		_, err := e.client(c.t).SubmitJob(context.Background(), lr.JobSpec{ID: id, Tasks: tasks, Work: "plan", Zone: e.zone})
		return err
	})
}

// awaitJob waits until the counts of a job's tasks meet the condition.
func (c *cluster) awaitJob(e *entry, id, what string, cond func(lr.PhaseCounts) bool) {
	c.t.Helper()
	eventually(c.t, "job "+id+" "+what, func() error {
		job, err := e.client(c.t).Job(context.Background(), id)
		return want(err == nil && cond(job.Counts), "%+v (%v)", job, err)
	})
}

func (c *cluster) awaitDone(e *entry, id string, tasks int) {
	c.t.Helper()
	c.awaitJob(e, id, "done", func(n lr.PhaseCounts) bool { return n.Done == tasks })
}

func (c *cluster) awaitRunning(e *entry, id string, tasks int) {
	c.t.Helper()
	c.awaitJob(e, id, "running", func(n lr.PhaseCounts) bool { return n.Running == tasks })
}

// awaitRevision waits until an entry host says that it applies at least the revision.
func (c *cluster) awaitRevision(revision int64, entries ...*entry) {
	c.t.Helper()
	for _, e := range entries {
		eventually(c.t, fmt.Sprintf("revision %d at %s", revision, e.id), func() error {
			have, err := c.revision(e)
			return want(err == nil && have >= revision, "is at %d (%v)", have, err)
		})
	}
}

// revision returns the revision that an entry host says it applies.
func (c *cluster) revision(e *entry) (int64, error) {
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

// stop asserts what must hold at the end of every test and ends everything that was started.
func (c *cluster) stop() {
	checked := c.checkInvariants()
	var all sync.WaitGroup
	for _, e := range c.live() {
		all.Go(func() {
			_ = e.process.Process.Signal(syscall.SIGCONT)
			if code := e.terminate(c.t); code != 0 {
				c.t.Errorf("%s exited with %d after SIGTERM", e.id, code)
			}
		})
	}
	all.Wait()
	if !checked && !c.t.Failed() && !c.t.Skipped() {
		c.t.Error("no invariant was checked by any entry host")
	}
	for _, e := range c.entries {
		text := e.tail(math.MaxInt32)
		for _, mark := range []string{"WARNING: DATA RACE", "panic:", "invariant violated"} {
			if _, after, ok := strings.Cut(text, mark); ok {
				c.t.Errorf("%s: %s%.6000s", e.id, mark, after)
			}
		}
		for _, link := range e.links {
			link.Stop()
		}
	}
	for id, link := range c.links {
		link.Stop()
		c.workers[id].Kill()
	}
	c.platform.Stop()
	if c.t.Failed() {
		for _, e := range c.entries {
			c.t.Logf("log of %s:\n%s", e.id, e.tail(50))
		}
	}
}

// checkInvariants reports what the workers' journal and the entry hosts' counters hold against the invariants.
func (c *cluster) checkInvariants() bool {
	for _, fault := range c.journal.Check() {
		c.t.Error(fault)
	}
	for _, fault := range c.checkResumes() {
		c.t.Error(fault)
	}
	made := false
	for _, e := range c.live() {
		_ = e.process.Process.Signal(syscall.SIGCONT)
		violations, checked, err := e.violations()
		if err != nil || len(violations) > 0 {
			c.t.Errorf("%s violated %v (%v)", e.id, violations, err)
		}
		made = made || checked
	}
	return made
}

// checkResumes reports attempts that did not start from the last checkpoint of an evicted one, which its worker
// still had to report.
func (c *cluster) checkResumes() []string {
	runs := c.journal.Runs()
	slices.SortFunc(runs, func(a, b fake.Run) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	from := map[string]time.Duration{}
	for _, s := range c.starts {
		from[fmt.Sprint(s.task, s.attempt, s.worker)] = s.from
	}
	var out []string
	for i, r := range runs {
		if i == 0 || runs[i-1].Task != r.Task || runs[i-1].Worker != r.Worker || r.Work != "plan" {
			continue
		}
		p := runs[i-1]
		reached := from[fmt.Sprint(p.Task, p.Attempt, p.Worker)] + p.End.Sub(p.Start)
		// The journal stamps the start a little after the worker does, hence one interval of tolerance.
		want := reached.Truncate(checkpointInterval) - checkpointInterval
		if got := from[fmt.Sprint(r.Task, r.Attempt, r.Worker)]; got < want || got > reached+checkpointInterval {
			out = append(out, fmt.Sprintf("task %s: attempt %d starts at %s, but attempt %d reached %s",
				r.Task, r.Attempt, got, p.Attempt, reached))
		}
	}
	return out
}
