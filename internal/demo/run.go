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
	tasksPerJob  = 24
)

// Report holds the results of a demo run.
type Report struct {
	// Checks is the number of invariant checks made by the entry hosts that run at the end.
	Checks int64
	// Restarts is the number of attempts beyond the first one of each task.
	Restarts int
	Outcomes map[laburnumridge.Outcome]int
	// P50, P99 and P999 are latency percentiles of the requests that were done.
	P50  time.Duration
	P99  time.Duration
	P999 time.Duration
	// Recoveries has one sentence for each replaced host, moved shard and lost worker.
	Recoveries     []string
	TasksSubmitted int
	TasksDone      int
	Violations     []string
}

// Run starts a fleet, submits batch jobs and sends requests for the given duration. Halfway through, it replaces an
// entry host and kills a worker. It then waits for the jobs and returns the results.
func Run(ctx context.Context, user User, duration time.Duration, log *logrus.Logger) (Report, error) {
	var report Report
	var mu sync.Mutex
	f, err := StartFleet(user, log, func(name, detail string) {
		mu.Lock()
		defer mu.Unlock()
		report.Violations = append(report.Violations, name+": "+detail)
	})
	if err != nil {
		return report, err
	}
	defer f.Stop()
	client, err := f.Deploy(ctx)
	if err != nil {
		return report, err
	}
	jobs, err := submitJobs(ctx, client, user)
	if err != nil {
		return report, err
	}
	load := newLoadGenerator(user.Zones[0])
	loadCtx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var wg sync.WaitGroup
	for i, service := range user.Services {
		wg.Go(func() { load.run(loadCtx, f.URLs, service, i > 0) })
	}
	recoveries, err := f.replaceHosts(loadCtx, client, duration)
	wg.Wait()
	if err != nil {
		return report, err
	}
	report.TasksDone, report.TasksSubmitted = awaitJobs(ctx, client, jobs)
	report.Recoveries = recoveries
	f.fillReport(&report, load)
	return report, nil
}

// Deploy starts the entry hosts, publishes the user's release note and waits until every service responds through every
// entry host.
func (f *Fleet) Deploy(ctx context.Context) (*laburnumridge.Client, error) {
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
	if err := retryUntilDone(ctx, func() error {
		_, err := client.Publish(ctx, f.user.Note)
		return err
	}); err != nil {
		return nil, eris.Wrap(err, "publishing the note")
	}
	for _, url := range f.URLs() {
		hostClient, err := laburnumridge.New(laburnumridge.WithURLs(url))
		if err != nil {
			return nil, err
		}
		for _, service := range f.user.Services {
			if err := retryUntilDone(ctx, func() error {
				response, err := hostClient.Do(ctx, service, "POST", "/ready", []byte("x"), laburnumridge.WithoutKey())
				if err == nil {
					_ = response.Body.Close()
				}
				return err
			}); err != nil {
				return nil, eris.Wrapf(err, "waiting for %s at %s", service, url)
			}
		}
	}
	return client, nil
}

// replaceHosts replaces an entry host and a worker halfway through the duration. It returns one sentence for each
// recovery that followed, with the time it took.
func (f *Fleet) replaceHosts(ctx context.Context, client *laburnumridge.Client, duration time.Duration) ([]string, error) {
	if !sleep(ctx, duration/2) {
		return nil, nil
	}
	zone := f.user.Zones[0]
	oldHost, newHost := zone+"-entry-1", zone+"-entry-3"
	if err := f.StartHost(newHost, zone); err != nil {
		return nil, err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "status")
	}
	started := time.Now()
	if err := f.RemoveHost(oldHost); err != nil {
		return nil, err
	}
	shards := ownedBy(status, oldHost)
	messages := []string{fmt.Sprintf("Entry host %s drained in %s and was replaced by %s.", oldHost, elapsed(started), newHost)}
	lostWorker := zone + "-worker-02"
	running := f.runningOn(lostWorker)
	f.KillWorker(lostWorker)
	if err := f.StartWorker(zone+"-worker-99", zone, 0); err != nil {
		return messages, err
	}
	client, err = laburnumridge.New(laburnumridge.WithURLs(f.URLs()...))
	if err != nil {
		return messages, err
	}
	for _, shard := range shards {
		owner := ""
		_ = retryUntilDone(ctx, func() error {
			s, err := client.Status(ctx)
			for _, current := range s.Shards {
				if current.Shard == shard {
					owner = current.Owner
					return nil
				}
			}
			return orPending(err)
		})
		messages = append(messages, fmt.Sprintf("Shard %s went from %s to %s within %s.", shard, oldHost, owner, elapsed(started)))
	}
	return append(messages, f.awaitRestarts(ctx, lostWorker, running)...), nil
}

// awaitRestarts waits until the tasks of a lost worker have been started on other workers. Runs are matched by workload,
// since a lost replica is replaced by a new task.
func (f *Fleet) awaitRestarts(ctx context.Context, lostWorker string, runs []fake.Run) []string {
	started := time.Now()
	remaining := slices.Clone(runs)
	counted := map[string]bool{}
	for ctx.Err() == nil && len(remaining) > 0 {
		for _, r := range f.Journal.Runs() {
			if r.Worker == lostWorker || !r.Start.After(started) || counted[r.Task] {
				continue
			}
			if i := slices.IndexFunc(remaining, func(lost fake.Run) bool { return lost.Work == r.Work }); i >= 0 {
				remaining = slices.Delete(remaining, i, i+1)
				counted[r.Task] = true
			}
		}
		sleep(ctx, 100*time.Millisecond)
	}
	message := fmt.Sprintf("Worker %s lost power with %d tasks; the work of %d started elsewhere within %s.",
		lostWorker, len(runs), len(runs)-len(remaining), elapsed(started))
	return []string{message}
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

// fillReport adds the results recorded by the entry hosts, the workers' journal and the load generator to the report. A
// request that was reported as not_run but was executed by a worker counts as a violation.
func (f *Fleet) fillReport(report *Report, load *loadGenerator) {
	report.Checks, _ = f.Invariants()
	report.Violations = append(report.Violations, f.Journal.Check()...)
	report.Violations = append(report.Violations, load.wrongResponses...)
	executed := map[string]bool{}
	for _, e := range f.Journal.Executions() {
		executed[e.Key] = true
	}
	for _, key := range load.notRunKeys {
		if key != "" && executed[key] {
			report.Violations = append(report.Violations, "key "+key+" was told not_run and ran")
		}
	}
	attempts := map[string]int{}
	for _, r := range f.Journal.Runs() {
		if attempts[r.Task]++; attempts[r.Task] > 1 {
			report.Restarts++
		}
	}
	report.Outcomes = load.outcomes
	percentile := func(p float64) time.Duration {
		return time.Duration(load.histogram.ValueAtQuantile(p)) * time.Microsecond
	}
	report.P50, report.P99, report.P999 = percentile(50), percentile(99), percentile(99.9)
}

// Print writes the report as lines of a label and a value.
func (r Report) Print(w io.Writer, user User) {
	total := 0
	for _, n := range r.Outcomes {
		total += n
	}
	fmt.Fprintf(w, "user                 %s\n", user.Name)
	fmt.Fprintf(w, "requests             %d: done %d, not_run %d, unknown %d\n", total,
		r.Outcomes[laburnumridge.OutcomeDone], r.Outcomes[laburnumridge.OutcomeNotRun], r.Outcomes[laburnumridge.OutcomeUnknown])
	fmt.Fprintf(w, "latency              p50 %s, p99 %s, p99.9 %s\n", r.P50, r.P99, r.P999)
	fmt.Fprintf(w, "tasks finished       %d of %d\n", r.TasksDone, r.TasksSubmitted)
	fmt.Fprintf(w, "tasks started again  %d\n", r.Restarts)
	fmt.Fprintf(w, "invariants           %d checks, %d violated\n", r.Checks, len(r.Violations))
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
		spec := laburnumridge.JobSpec{ID: id, Tasks: tasksPerJob, Work: user.Batch, Zone: zone}
		if _, err := client.SubmitJob(ctx, spec); err != nil {
			return ids, eris.Wrapf(err, "submitting %s", id)
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// awaitJobs waits until all tasks of the jobs are done, or until readyTimeout, and returns how many of them are done.
func awaitJobs(ctx context.Context, client *laburnumridge.Client, ids []string) (done, submitted int) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, id := range ids {
		var last laburnumridge.JobStatus
		_ = retryUntilDone(ctx, func() error {
			s, err := client.Job(ctx, id)
			if err != nil {
				return err
			}
			last = s
			if s.Counts.Done < tasksPerJob {
				return errPending
			}
			return nil
		})
		done, submitted = done+last.Counts.Done, submitted+tasksPerJob
	}
	return done, submitted
}

// errPending makes retryUntilDone try again.
var errPending = eris.New("not yet")

// orPending returns err, or errPending if err is nil.
func orPending(err error) error {
	if err != nil {
		return err
	}
	return errPending
}

func elapsed(since time.Time) time.Duration { return time.Since(since).Round(10 * time.Millisecond) }

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// retryUntilDone calls f every 100 ms until it succeeds or ctx ends, and returns the last error.
func retryUntilDone(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil || !sleep(ctx, 100*time.Millisecond) {
			return err
		}
	}
}
