package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// sharing is what a shard knows of a job whose tasks are held by several shards. Its home accepted the job and decides which shard
// holds a task; the other shards are guests.
type sharing struct {
	// guests holds the shards that have a record of the job, at its home. The value is set while the record has to be written.
	guests map[int]bool
	home   int
	// isGuest is set if this shard is not the home.
	isGuest bool
	// isRecorded is set once the home's record says that the job is shared.
	isRecorded bool
	// isReturning is set while a guest has to record which tasks it returned.
	isReturning bool
	transfers   map[workflow.TaskKey]*transfer
}

// transfer is the latest hop of a task.
type transfer struct {
	// arrivedAt is when this shard took the task; zero if an earlier owner did.
	arrivedAt time.Time
	hop       int
	// shard is the shard that holds the task; workflow.NoShard stands for this one.
	shard int
}

// newSharing returns the sharing of a job by its recorded progress.
func (o *Owner) newSharing(home int, p workflow.Progress) *sharing {
	s := &sharing{
		guests: map[int]bool{}, home: home, isGuest: home != o.shard, transfers: make(map[workflow.TaskKey]*transfer, len(p.Transfers)),
	}
	for _, g := range p.Guests {
		s.guests[g] = false
	}
	for _, t := range p.Transfers {
		s.transfers[t.Key] = &transfer{hop: t.Hop, shard: t.Shard}
	}
	return s
}

// openFor opens the occurrence of a task that has moved. It was due by the clock of the owner that gave the task.
func (o *Owner) openFor(j *job, k workflow.TaskKey) {
	if k.Occurrence >= j.doneThrough && k.Occurrence < j.OccurrenceCount() {
		o.occurrence(j, k.Occurrence)
	}
}

// isAway reports whether another shard holds a task. A guest holds only the tasks that were given to it.
func (s *sharing) isAway(k workflow.TaskKey) bool {
	tr := s.transfers[k]
	if tr == nil {
		return s.isGuest
	}
	return tr.shard != workflow.NoShard
}

// guestShards returns the guests in order.
func (s *sharing) guestShards() []int { return slices.Sorted(maps.Keys(s.guests)) }

// markGuestsChanged makes the records of the job in the guests be written again.
func (s *sharing) markGuestsChanged() {
	for g := range s.guests {
		s.guests[g] = true
	}
}

// markAllChanged makes the records of the job in all shards be written again.
func (s *sharing) markAllChanged() {
	s.isRecorded, s.isReturning = false, s.isGuest
	s.markGuestsChanged()
}

// record returns the transfers as they are recorded, in the order of the tasks.
func (s *sharing) record() []workflow.Transfer {
	out := make([]workflow.Transfer, 0, len(s.transfers))
	for k, t := range s.transfers {
		out = append(out, workflow.Transfer{Hop: t.hop, Key: k, Shard: t.shard})
	}
	slices.SortFunc(out, func(a, b workflow.Transfer) int { return compareKeys(a.Key, b.Key) })
	return out
}

func compareKeys(a, b workflow.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// heldBy returns the tasks that a shard holds, as they moved there, or those that a guest returned if the shard is the home. A guest adds
// those that it holds and that must not run again.
func (o *Owner) heldBy(j *job, shard int) []workflow.HeldTask {
	var out []workflow.HeldTask
	for _, r := range j.shared.record() {
		t := o.task(j.ID, r.Key)
		if t == nil {
			continue
		}
		isKept := j.shared.isGuest && r.Shard == workflow.NoShard && t.isExhausted()
		if isKept {
			r.Hop = workflow.NoHop
		}
		if isKept || r.Shard == shard {
			out = append(out, workflow.HeldTask{Hop: r.Hop, Record: workflow.TaskRecord{
				Key: r.Key, Attempts: t.knownFailedRuns(), Checkpoint: t.checkpoint, Done: t.done, Failures: t.failures.Count(), Run: t.run,
			}})
		}
	}
	return out
}

// JobRecord is the record of a shared job in a shard.
type JobRecord struct {
	Shard int
	Value []byte
}

// SharedWrite is what a JobWrite writes beside the progress of a shared job.
type SharedWrite struct {
	// Guests holds the guests of the job, at its home.
	Guests []int
	Home   int
	// IsGuest is set if the progress is that of a guest.
	IsGuest bool
	// Records are the job's records in shards.
	Records []JobRecord
	// Returned is the list of the tasks that a guest returned; nil if it is not written.
	Returned []byte
}

// sharedWrite returns what has to be written beside the progress of a shared job, and takes it for written.
func (o *Owner) sharedWrite(j *job) *SharedWrite {
	s := j.shared
	w := &SharedWrite{Guests: s.guestShards(), Home: s.home, IsGuest: s.isGuest}
	record := workflow.SharedJob{Home: s.home, Job: j.Job.WithSettings(j.queue)}
	switch {
	case s.isGuest:
		if s.isReturning && j.final == "" {
			w.Returned = workflow.Encode(o.heldBy(j, s.home))
		}
		s.isReturning = false
		return w
	case j.final == "" && !s.isRecorded:
		w.Records = append(w.Records, JobRecord{Shard: o.shard, Value: workflow.EncodeSharedJob(record)})
		s.isRecorded = true
	}
	for _, g := range w.Guests {
		if !s.guests[g] {
			continue
		}
		if record.Cancelled = j.final != ""; !record.Cancelled {
			record.Tasks = o.heldBy(j, g)
		}
		w.Records = append(w.Records, JobRecord{Shard: g, Value: workflow.EncodeSharedJob(record)})
		s.guests[g] = false
	}
	return w
}

// RestoreShared adds a shared job with the progress that this shard recorded.
func (o *Owner) RestoreShared(now time.Time, s workflow.SharedJob, p workflow.Progress, cancelled bool) {
	o.restore(now, s.Job, p, cancelled || s.Cancelled, &s)
}

// ApplyShared applies the present record of a shared job: a guest takes the tasks that it is to hold, and stops if the job is
// cancelled. A guest that has not heard of the job adds it.
func (o *Owner) ApplyShared(now time.Time, s workflow.SharedJob) {
	j := o.jobs[s.Job.ID]
	if j == nil {
		// The record of a cancellation may be written once more after the guest has deleted it.
		if s.Cancelled || o.ended.state(now, s.Job.ID) == "" {
			o.RestoreShared(now, s, workflow.Progress{}, false)
		}
		return
	}
	if j.shared == nil || !j.shared.isGuest {
		return
	}
	o.now = now
	if j.final != "" {
		if s.Cancelled {
			j.finalRecorded = false // the record that was written once more has to be deleted again
			o.markDirty(j)
		}
		return
	}
	o.takeHeld(now, j, s.Tasks)
	if s.Cancelled {
		o.Cancel(now, j.ID)
	}
}

// restoreSharing restores where the tasks of a shared job are. The record is nil if the last owner decided to share the job and did
// not record it.
func (o *Owner) restoreSharing(now time.Time, j *job, p workflow.Progress, record *workflow.SharedJob) {
	home := o.shard
	if record != nil {
		home = record.Home
	}
	j.shared = o.newSharing(home, p)
	j.shared.isRecorded = record != nil
	for k := range j.shared.transfers {
		o.openFor(j, k)
	}
	for _, occ := range j.occurrences {
		for _, tasks := range occ.tasks {
			for _, t := range tasks {
				t.isAway = j.shared.isAway(t.key)
			}
		}
	}
	if j.shared.isGuest {
		j.started, o.guestJobs[j] = true, true // the home counts the job while it is pending
		o.takeHeld(now, j, record.Tasks)
	}
}
