package host

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

// replicaPrefix is the id prefix of jobs that hold one replica of a service or feed.
const replicaPrefix = "svc~"

const (
	// successorWait is how long a replica that is being replaced waits for its successor to run.
	successorWait = 10 * time.Second
	// workerSilenceLimit is how long a worker may be silent before its replicas get successors on other workers. It
	// is two and a half heartbeats, so that one lost heartbeat moves nothing.
	workerSilenceLimit = 5 * time.Second
)

// replicaID returns the part of a replica's job id that its successors share. Of the settings of a workload it depends
// on kind and resources only, so that a note that changes anything else restarts nothing.
func replicaID(w note.Work, zone string, index int) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s %+v", w.Kind, w.Resources)
	return fmt.Sprintf("%s%s~%s~%08x~%d", replicaPrefix, w.Name, zone, h.Sum32(), index)
}

// splitGeneration splits a replica's job id into its replica id and its generation.
func splitGeneration(job string) (id string, n int) {
	i := strings.LastIndexByte(job, '~')
	n, err := strconv.Atoi(job[i+1:])
	if err != nil {
		return job, 0
	}
	return job[:i], n
}

func isReplica(job string) bool { return strings.HasPrefix(job, replicaPrefix) }

// replicaSet is the ledger's jobs with the same replica id.
type replicaSet struct {
	latest int                // highest generation ever recorded
	live   []ledger.JobRecord // not ended and not withdrawn
}

// reconcileReplicas brings the replicas in the ledger in line with the catalogue while services keep answering:
// successors start first, and replicas are stopped after their requests have drained.
func (o *shardOwner) reconcileReplicas(now time.Time) {
	c, _ := o.host.notes.current()
	if c.Revision() == 0 {
		return
	}
	shards := o.host.shardCount(o.id.Zone)
	recorded := o.recordedReplicas()
	running := o.replicaStates(now)
	wanted := map[string]bool{}
	pending := map[string]bool{} // work with a wanted replica that is not running yet
	for _, item := range c.Items() {
		w := item.Work
		if !w.IsLatencyCritical() {
			continue
		}
		for i := range w.ReplicasPerZone {
			if i%shards != o.id.Index {
				continue
			}
			id := replicaID(w, o.id.Zone, i)
			if keep := o.ensureReplica(now, w, id, recorded[id], running); keep != "" {
				wanted[keep] = true
				pending[w.Name] = pending[w.Name] || running[keep] != replicaRunning
			}
		}
	}
	for _, set := range recorded {
		for _, r := range set.live {
			if !wanted[r.Job.ID] {
				o.retire(now, r, pending[r.Job.Work])
			}
		}
	}
}

func (o *shardOwner) recordedReplicas() map[string]replicaSet {
	out := map[string]replicaSet{}
	for _, r := range o.ledger.State().Jobs() {
		if !isReplica(r.Job.ID) {
			continue
		}
		id, n := splitGeneration(r.Job.ID)
		set := out[id]
		set.latest = max(set.latest, n)
		if r.EndedAt == 0 && !r.Withdrawn {
			set.live = append(set.live, r)
		}
		out[id] = set
	}
	return out
}

// ensureReplica keeps one replica with a replica id and returns its job id. A replica whose worker is silent or
// leaving gets a successor at once: the successor is another task, so it need not wait for a proof of end.
func (o *shardOwner) ensureReplica(
	now time.Time, w note.Work, id string, have replicaSet, running map[string]replicaState,
) string {
	best, bestN := "", -1
	for _, r := range have.live {
		if _, n := splitGeneration(r.Job.ID); n > bestN {
			best, bestN = r.Job.ID, n
		}
	}
	if best != "" && running[best] != replicaLost {
		return best
	}
	next := fmt.Sprintf("%s~%d", id, have.latest+1)
	accepted := o.ledger.Accept(ledger.Job{
		ID: next, Kind: w.Kind, Resources: w.Resources, SubmittedAt: now.UnixMilli(), Tasks: 1, Team: w.Team, Work: w.Name,
	})
	if accepted && best != "" {
		o.recordDecision(explain.Decision{
			Decision: "replace_replica", Job: next, Reason: "worker of " + best + " is silent or leaving", Work: w.Name,
		})
	}
	return next
}

// retire stops a replica that is no longer wanted. Before that, its backend server gets no new requests for a while.
func (o *shardOwner) retire(now time.Time, r ledger.JobRecord, successorPending bool) {
	since, ok := o.drainingSince[r.Job.ID]
	if !ok {
		if successorPending && (now.Sub(o.markRetiring(r.Job.ID, now)) < successorWait || o.isDraining(r.Job.Work)) {
			return
		}
		o.drainingSince[r.Job.ID] = now
		o.recordDecision(explain.Decision{
			Decision: "drain_replica", Job: r.Job.ID, Reason: "replaced, or not listed by the notes in force", Work: r.Job.Work,
		})
		return
	}
	if now.Sub(since) < replicaDrainTime || o.grants.hasRequestsInFlight(r.Job.ID) {
		return
	}
	if err := o.ledger.Withdraw(r.Job.ID, "replica is no longer wanted"); err != nil {
		o.log.WithError(err).Warn("skipped withdrawing a replica that the shard's ledger does not contain")
	}
}

// isDraining reports whether a replica of a workload is draining. While successors wait for the capacity that old
// replicas hold, these are stopped one at a time, so that the others keep answering.
func (o *shardOwner) isDraining(work string) bool {
	for job := range o.drainingSince {
		if rec, ok := o.ledger.State().Job(job); ok && rec.Job.Work == work && rec.EndedAt == 0 {
			return true
		}
	}
	return false
}

// markRetiring returns when a replica was first marked as no longer wanted, and marks it if it was not.
func (o *shardOwner) markRetiring(job string, now time.Time) time.Time {
	if _, ok := o.retiringSince[job]; !ok {
		o.retiringSince[job] = now
	}
	return o.retiringSince[job]
}

// replicaState is what the owner knows of a replica's current attempt.
type replicaState int

const (
	// replicaPending means that no attempt has been confirmed yet.
	replicaPending replicaState = iota
	// replicaLost means that the worker is silent, leaving or not on the host list.
	replicaLost
	// replicaRunning means that the worker has confirmed the attempt.
	replicaRunning
)

func (o *shardOwner) replicaStates(now time.Time) map[string]replicaState {
	out := map[string]replicaState{}
	hosts := o.host.hosts.snapshot()
	for _, r := range o.ledger.Running() {
		h, listed := hosts.Host(r.Worker)
		lastContact := o.lastReport[r.Worker]
		if lastContact.Before(o.contactSince) {
			lastContact = o.contactSince
		}
		switch {
		case !listed || h.IsLeaving() || now.Sub(lastContact) > workerSilenceLimit:
			out[r.Job.ID] = replicaLost
		case r.Reported:
			out[r.Job.ID] = replicaRunning
		}
	}
	return out
}

// acceptJobs accepts the jobs of the shard's intake records into the ledger and deletes the records of ended jobs.
func (o *shardOwner) acceptJobs(now time.Time) {
	c, _ := o.host.notes.current()
	for _, rec := range o.host.jobs.ofShard(o.id) {
		known, ok := o.ledger.State().Job(rec.ID)
		if !ok {
			item, listed := c.Item(rec.Work)
			if !listed || rec.Cancelled {
				if listed || c.Revision() >= rec.Revision {
					o.host.jobs.remove(rec.ID)
				}
				continue
			}
			o.ledger.Accept(toLedgerJob(rec, item.Work))
			continue
		}
		o.applyIntakeChange(now, rec, known, c)
	}
}

func (o *shardOwner) applyIntakeChange(now time.Time, rec jobRecord, known ledger.JobRecord, c note.Catalogue) {
	if known.EndedAt != 0 {
		// The record is deleted shortly before the ledger forgets the job, so that a repeated id is found in one of
		// them.
		if now.Sub(time.UnixMilli(known.EndedAt)) > ledger.JobRetention-time.Minute {
			o.host.jobs.remove(rec.ID)
		}
		return
	}
	_, listed := c.Item(rec.Work)
	if known.Withdrawn || (listed && !rec.Cancelled) {
		return
	}
	reason := "cancelled by its submitter"
	if !listed {
		reason = "its work was withdrawn by a note"
	}
	if err := o.ledger.Withdraw(rec.ID, reason); err == nil {
		o.recordDecision(explain.Decision{Decision: "withdraw_job", Job: rec.ID, Reason: reason, Work: rec.Work})
	}
}

func toLedgerJob(rec jobRecord, w note.Work) ledger.Job {
	j := ledger.Job{
		ID: rec.ID, Kind: w.Kind, Priority: w.Priority, Resources: w.Resources, RunTime: w.RunTime,
		SubmittedAt: rec.SubmittedAt.UnixMilli(), Tasks: rec.Tasks, Team: w.Team, Work: w.Name,
	}
	if w.Deadline.Duration > 0 {
		j.DeadlineAt = rec.SubmittedAt.Add(w.Deadline.Duration).UnixMilli()
	}
	return j
}
