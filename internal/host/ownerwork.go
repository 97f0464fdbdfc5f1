package host

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

// replicaPrefix marks the jobs that hold one replica of a service or feed.
const replicaPrefix = "svc~"

// rolloutWait is how long a changed service waits for room beside its old replicas before they are stopped.
const rolloutWait = 10 * time.Second

// replicaJob returns the job of a replica. The id changes with the resources only, so that a note that
// changes anything else of a service restarts nothing.
func replicaJob(w note.Work, zone string, index int) ledger.Job {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s %+v", w.Kind, w.Resources)
	return ledger.Job{
		ID:        fmt.Sprintf("%s%s~%s~%08x~%d", replicaPrefix, w.Name, zone, h.Sum32(), index),
		Kind:      w.Kind,
		Resources: w.Resources,
		Tasks:     1,
		Team:      w.Team,
		Work:      w.Name,
	}
}

func isReplica(job string) bool { return strings.HasPrefix(job, replicaPrefix) }

// acceptServices brings the replicas in the ledger in line with the catalogue, in steps that keep a service
// answering: new replicas start first, and old ones are stopped after their requests have drained.
func (o *shardOwner) acceptServices(now time.Time) {
	c, _ := o.host.notes.current()
	if c.Revision() == 0 {
		return
	}
	shards := o.host.shardCount(o.id.Zone)
	wanted := map[string]bool{}
	pending := map[string]bool{} // work that has a wanted replica which does not run yet
	running := o.runningJobs()
	for _, item := range c.Items() {
		w := item.Work
		if !w.IsLatencyCritical() {
			continue
		}
		for i := range w.ReplicasPerZone {
			if i%shards != o.id.Index {
				continue
			}
			j := replicaJob(w, o.id.Zone, i)
			wanted[j.ID] = true
			j.SubmittedAt = now.UnixMilli()
			o.ledger.Accept(j)
			if !running[j.ID] {
				pending[w.Name] = true
			}
		}
	}
	for _, r := range o.ledger.State().Jobs() {
		if isReplica(r.Job.ID) && !wanted[r.Job.ID] && r.EndedAt == 0 && !r.Withdrawn {
			o.retire(now, r, pending[r.Job.Work])
		}
	}
}

// retire stops a replica that is no longer wanted: first its backend server gets no new requests.
func (o *shardOwner) retire(now time.Time, r ledger.JobRecord, successorPending bool) {
	since, ok := o.draining[r.Job.ID]
	if !ok {
		if successorPending && now.Sub(o.rolloutSince(r.Job.Work, now)) < rolloutWait {
			return
		}
		o.draining[r.Job.ID] = now
		o.explain(explain.Decision{
			Decision: "drain_replica", Job: r.Job.ID, Reason: "not listed by the notes in force", Work: r.Job.Work,
		})
		return
	}
	if now.Sub(since) < drainTime || o.grants.inUse(r.Job.ID) {
		return
	}
	if err := o.ledger.Withdraw(r.Job.ID, "replica is no longer wanted"); err != nil {
		o.log.WithError(err).Warn("replica was not withdrawn")
	}
}

func (o *shardOwner) rolloutSince(work string, now time.Time) time.Time {
	since, ok := o.rollouts[work]
	if !ok {
		o.rollouts[work] = now
		return now
	}
	return since
}

func (o *shardOwner) runningJobs() map[string]bool {
	out := map[string]bool{}
	for _, r := range o.ledger.Running() {
		if r.Reported {
			out[r.Job.ID] = true
		}
	}
	return out
}

// acceptJobs takes the intake records of the shard into the ledger and removes those that have ended.
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
		o.followIntake(now, rec, known, c)
	}
}

func (o *shardOwner) followIntake(now time.Time, rec jobRecord, known ledger.JobRecord, c note.Catalogue) {
	if known.EndedAt != 0 {
		// The record goes when the ledger is about to forget the job, so that a repeated id finds either.
		if now.Sub(time.UnixMilli(known.EndedAt)) > ledger.Retention-time.Minute {
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
		o.explain(explain.Decision{Decision: "withdraw_job", Job: rec.ID, Reason: reason, Work: rec.Work})
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
