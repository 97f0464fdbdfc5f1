package entry

import (
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// add passes a job that was recorded at a store revision to the owner. It returns false if the shard's jobs are not loaded yet.
// A job whose record this runner has already read or followed is not added: if the owner does not have it, it has ended, perhaps
// under an earlier owner. That includes revision 0, which means that the sender, a host of an older build, does not name the
// revision: such a job is added when the watch shows its record.
func (r *runner) add(j workflow.Job, revision int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return false
	}
	if revision <= r.appliedJobs {
		return true
	}
	r.revisions.NoteJob(j.ID, revision)
	r.owner.Add(r.host.now(), j)
	r.wakeLoop()
	return true
}

// cancelJob passes a recorded cancellation to the owner. It returns false if the shard's jobs are not loaded yet. The watch shows the
// cancellation of a job that the owner does not know yet, together with the job. One of a job that has ended must not reach a later job with its
// id.
func (r *runner) cancelJob(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return false
	}
	if r.owner.IsOpen(id) {
		r.cancellations[id] = true
		r.owner.Cancel(r.host.now(), id)
		r.wakeLoop()
	}
	return true
}

// state returns the state of a job; found is false if the shard does not know it. isOwner is false if this host has not loaded
// the shard's jobs or has been fenced.
func (r *runner) state(id string) (s workflow.State, isOwner, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded || r.deposed {
		return "", false, false
	}
	s, found = r.owner.State(id)
	return s, true, found
}

// pending returns the number of a queue's jobs that have not started. It returns false if this host has not loaded the shard's
// jobs or has been fenced.
func (r *runner) pending(queue string) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded || r.deposed {
		return 0, false
	}
	return r.owner.Pending(queue), true
}
