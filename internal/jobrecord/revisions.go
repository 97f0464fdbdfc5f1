package jobrecord

import (
	"errors"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// ErrJobGone means that the record of a job has been deleted, so that its progress must not be written any more.
var ErrJobGone = errors.New("the record of the job has been deleted")

// UnknownRevision stands for the revision of a record of a job that is not known. The store answers with the present one, since no such record
// has this revision: the layout was written before.
const UnknownRevision = 1

// Revisions holds the revisions of the records of a shard's jobs. The first progress record of a job is guarded by the job's own record, since
// the absence of progress holds again once the job has ended: the store may execute a transaction seconds after a later one.
type Revisions struct {
	// jobs holds the revisions of the jobs' own records, as long as they have no progress record.
	jobs map[string]int64
	// progress holds the revisions of the progress records.
	progress map[string]int64
	// jobKey and progressKey return the keys of the records of a job.
	jobKey, progressKey func(id string) string
}

// Option sets up Revisions.
type Option func(*Revisions)

// WithKeys sets the functions that return the keys of a job's own record and of its progress record.
func WithKeys(jobKey, progressKey func(id string) string) Option {
	return func(r *Revisions) { r.jobKey, r.progressKey = jobKey, progressKey }
}

// New returns revisions of a shard without records.
func New(options ...Option) *Revisions {
	self := func(id string) string { return id }
	r := &Revisions{jobs: map[string]int64{}, progress: map[string]int64{}, jobKey: self, progressKey: self}
	for _, o := range options {
		o(r)
	}
	return r
}

// NoteJob notes that the own record of a job was seen at a revision.
func (r *Revisions) NoteJob(id string, revision int64) {
	if _, ok := r.progress[id]; !ok {
		r.jobs[id] = max(r.jobs[id], revision)
	}
}

// NoteProgress notes that the progress record of a job is at a revision.
func (r *Revisions) NoteProgress(id string, revision int64) {
	r.progress[id] = revision
	delete(r.jobs, id)
}

// Progress returns the revision of the progress record of a job; ok is false if it has none.
func (r *Revisions) Progress(id string) (revision int64, ok bool) {
	revision, ok = r.progress[id]
	return revision, ok
}

// Forget notes that the records of a job are deleted.
func (r *Revisions) Forget(id string) {
	delete(r.progress, id)
	delete(r.jobs, id)
}

// Guards returns the guards of a transaction that writes the progress of a job.
func (r *Revisions) Guards(id string) []kvstore.Guard {
	if revision, ok := r.progress[id]; ok {
		return []kvstore.Guard{{Key: r.progressKey(id), Revision: revision}}
	}
	job := r.jobs[id]
	if job == 0 {
		job = UnknownRevision
	}
	return []kvstore.Guard{{Key: r.progressKey(id)}, {Key: r.jobKey(id), Revision: job}}
}

// Adopt notes the present revisions of the records of a job whose guards did not hold. Records that are not among the present ones are left as
// they are. Errors match ErrJobGone.
func (r *Revisions) Adopt(id string, present map[string]kvstore.KV) error {
	if kv, ok := present[r.progressKey(id)]; ok {
		if kv.ModRevision != 0 {
			r.progress[id] = kv.ModRevision
		} else {
			delete(r.progress, id)
		}
	}
	if kv, ok := present[r.jobKey(id)]; ok {
		if kv.ModRevision == 0 {
			return ErrJobGone
		}
		r.jobs[id] = kv.ModRevision
	}
	return nil
}
