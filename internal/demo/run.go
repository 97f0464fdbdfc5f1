package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

const (
	hostsPerZone = 2
	readyTimeout = 30 * time.Second
	jobTasks     = 24
)

// Report is what a demo measured.
type Report struct {
	Checked    int64
	Evictions  int
	Outcomes   map[laburnumridge.Outcome]int
	P50        time.Duration
	P99        time.Duration
	P999       time.Duration
	Recoveries []string
	Submitted  int
	TasksDone  int
	Violations []string
}

// Run starts a fleet, sends traffic and batch work for the duration, replaces an entry host and a worker
// half-way, and returns what was measured.
func Run(ctx context.Context, user User, duration time.Duration, log *logrus.Logger) (Report, error) {
	var out Report
	var mu sync.Mutex
	f, err := StartFleet(user, log, func(name, detail string) {
		mu.Lock()
		defer mu.Unlock()
		out.Violations = append(out.Violations, name+": "+detail)
	})
	if err != nil {
		return out, err
	}
	defer f.Stop()
	client, err := f.Ready(ctx)
	if err != nil {
		return out, err
	}
	jobs, err := submitJobs(ctx, client, user)
	if err != nil {
		return out, err
	}
	t := newTraffic(user.Zones[0])
	sending, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var all sync.WaitGroup
	for i, service := range user.Services {
		all.Go(func() { t.run(sending, f.URLs, service, i > 0) })
	}
	replaced, err := f.replace(sending, client, duration)
	all.Wait()
	if err != nil {
		return out, err
	}
	out.TasksDone, out.Submitted = awaitJobs(ctx, client, jobs)
	out.Recoveries = replaced
	f.sum(&out, t)
	return out, nil
}

// Ready starts the entry hosts, publishes the user's note and waits until every service answers.
func (f *Fleet) Ready(ctx context.Context) (*laburnumridge.Client, error) {
	for _, zone := range f.user.Zones {
		for i := range hostsPerZone {
			if err := f.StartHost(fmt.Sprintf("%s-entry-%d", zone, i+1), zone); err != nil {
				return nil, err
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client, err := laburnumridge.New(laburnumridge.WithURLs(f.URLs()...))
	if err != nil {
		return nil, err
	}
	if err := until(ctx, func() error {
		_, err := client.Publish(ctx, f.user.Note)
		return err
	}); err != nil {
		return nil, eris.Wrap(err, "publishing the note")
	}
	for _, url := range f.URLs() {
		one, err := laburnumridge.New(laburnumridge.WithURLs(url))
		if err != nil {
			return nil, err
		}
		for _, service := range f.user.Services {
			if err := until(ctx, func() error {
				answer, err := one.Do(ctx, service, "POST", "/ready", []byte("x"), laburnumridge.WithoutKey())
				if err == nil {
					_ = answer.Body.Close()
				}
				return err
			}); err != nil {
				return nil, eris.Wrapf(err, "waiting for %s at %s", service, url)
			}
		}
	}
	return client, nil
}

// replace swaps an entry host and a worker half-way and says what the fleet did about each.
func (f *Fleet) replace(ctx context.Context, client *laburnumridge.Client, duration time.Duration) ([]string, error) {
	if !sleep(ctx, duration/2) {
		return nil, nil
	}
	zone := f.user.Zones[0]
	gone, came := zone+"-entry-1", zone+"-entry-3"
	if err := f.StartHost(came, zone); err != nil {
		return nil, err
	}
	before, err := client.Status(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "status")
	}
	started := time.Now()
	if err := f.RemoveHost(gone); err != nil {
		return nil, err
	}
	owned := ownedBy(before, gone)
	said := []string{fmt.Sprintf("Entry host %s drained in %s and was replaced by %s.", gone, roughly(started), came)}
	lost := zone + "-worker-02"
	running := f.runningOn(lost)
	f.KillWorker(lost)
	if err := f.StartWorker(zone+"-worker-99", zone, 0); err != nil {
		return said, err
	}
	client, err = laburnumridge.New(laburnumridge.WithURLs(f.URLs()...))
	if err != nil {
		return said, err
	}
	for _, shard := range owned {
		owner := ""
		_ = until(ctx, func() error {
			s, err := client.Status(ctx)
			for _, have := range s.Shards {
				if have.Shard == shard {
					owner = have.Owner
					return nil
				}
			}
			return cmpErr(err)
		})
		said = append(said, fmt.Sprintf("Shard %s went from %s to %s within %s.", shard, gone, owner, roughly(started)))
	}
	return append(said, f.resumed(ctx, lost, running)...), nil
}

// resumed waits until the work of a lost worker runs elsewhere: its batch tasks, and successors of its replicas.
func (f *Fleet) resumed(ctx context.Context, lost string, tasks []fake.Run) []string {
	started := time.Now()
	left := slices.Clone(tasks)
	counted := map[string]bool{}
	for ctx.Err() == nil && len(left) > 0 {
		for _, r := range f.Journal.Runs() {
			if r.Worker == lost || !r.Start.After(started) || counted[r.Task] {
				continue
			}
			if i := slices.IndexFunc(left, func(l fake.Run) bool { return l.Work == r.Work }); i >= 0 {
				left = slices.Delete(left, i, i+1)
				counted[r.Task] = true
			}
		}
		sleep(ctx, 100*time.Millisecond)
	}
	said := fmt.Sprintf("Worker %s lost power with %d tasks; the work of %d started elsewhere within %s.",
		lost, len(tasks), len(tasks)-len(left), roughly(started))
	return []string{said}
}

func (f *Fleet) runningOn(worker string) []fake.Run {
	var out []fake.Run
	for _, r := range f.Journal.Runs() {
		if r.Worker == worker && r.End.IsZero() {
			out = append(out, r)
		}
	}
	return out
}

// sum adds up what the entry hosts, the workers' journal and the callers saw.
func (f *Fleet) sum(out *Report, t *traffic) {
	out.Checked, _ = f.Invariants()
	out.Violations = append(out.Violations, f.Journal.Check()...)
	out.Violations = append(out.Violations, t.wrong...)
	ran := map[string]bool{}
	for _, e := range f.Journal.Executions() {
		ran[e.Key] = true
	}
	for _, key := range t.notRun {
		if key != "" && ran[key] {
			out.Violations = append(out.Violations, "key "+key+" was told not_run and ran")
		}
	}
	attempts := map[string]int{}
	for _, r := range f.Journal.Runs() {
		if attempts[r.Task]++; attempts[r.Task] > 1 {
			out.Evictions++
		}
	}
	out.Outcomes = t.outcomes
	quantile := func(q float64) time.Duration {
		return time.Duration(t.histogram.ValueAtQuantile(q)) * time.Microsecond
	}
	out.P50, out.P99, out.P999 = quantile(50), quantile(99), quantile(99.9)
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer, user User) {
	total := 0
	for _, n := range r.Outcomes {
		total += n
	}
	fmt.Fprintf(w, "user                 %s\n", user.Name)
	fmt.Fprintf(w, "requests             %d: done %d, not_run %d, unknown %d\n", total,
		r.Outcomes[laburnumridge.OutcomeDone], r.Outcomes[laburnumridge.OutcomeNotRun], r.Outcomes[laburnumridge.OutcomeUnknown])
	fmt.Fprintf(w, "latency              p50 %s, p99 %s, p99.9 %s\n", r.P50, r.P99, r.P999)
	fmt.Fprintf(w, "tasks finished       %d of %d\n", r.TasksDone, r.Submitted)
	fmt.Fprintf(w, "tasks started again  %d\n", r.Evictions)
	fmt.Fprintf(w, "invariants           %d checks, %d violated\n", r.Checked, len(r.Violations))
	for _, s := range r.Recoveries {
		fmt.Fprintln(w, "recovery             "+s)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(w, "violation            "+v)
	}
}

func ownedBy(s laburnumridge.Status, host string) []string {
	var out []string
	for _, shard := range s.Shards {
		if shard.Owner == host {
			out = append(out, shard.Shard)
		}
	}
	return out
}

func submitJobs(ctx context.Context, client *laburnumridge.Client, user User) ([]string, error) {
	var ids []string
	for _, zone := range user.Zones {
		id := strings.Join([]string{user.Batch, zone, "1"}, "-")
		spec := laburnumridge.JobSpec{ID: id, Tasks: jobTasks, Work: user.Batch, Zone: zone}
		if _, err := client.SubmitJob(ctx, spec); err != nil {
			return ids, eris.Wrapf(err, "submitting %s", id)
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// awaitJobs waits for the jobs to end and returns how many of their tasks are done.
func awaitJobs(ctx context.Context, client *laburnumridge.Client, ids []string) (done, submitted int) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, id := range ids {
		var last laburnumridge.JobStatus
		_ = until(ctx, func() error {
			s, err := client.Job(ctx, id)
			if err != nil {
				return err
			}
			last = s
			if s.Counts.Done < jobTasks {
				return errPending
			}
			return nil
		})
		done, submitted = done+last.Counts.Done, submitted+jobTasks
	}
	return done, submitted
}

var errPending = eris.New("not yet")

func cmpErr(err error) error {
	if err != nil {
		return err
	}
	return errPending
}

func roughly(since time.Time) time.Duration { return time.Since(since).Round(10 * time.Millisecond) }

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// until repeats f until it succeeds or ctx ends, and returns its last error.
func until(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil || !sleep(ctx, 100*time.Millisecond) {
			return err
		}
	}
}
