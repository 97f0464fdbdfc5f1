package entry

import (
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// CommitWriter writes the records of jobs of shard 0 as its owner does.
type CommitWriter struct{ r *runner }

// NewCommitWriter returns a writer for the owner whose key is at a revision, and which has read the progress records at theirs.
func NewCommitWriter(h *Host, ownerRevision int64, progress map[string]int64) CommitWriter {
	r := newRunner(h, 0, ownerRevision, 1)
	for job, revision := range progress {
		r.revisions.NoteProgress(job, revision)
	}
	return CommitWriter{r}
}

// Write writes one transaction and reports whether it is known to have taken effect before Close.
func (c CommitWriter) Write(writes []shard.JobWrite) bool {
	n, t := c.r.buildTxn(writes)
	written, err := c.r.writeRecords(t, writes[:n])
	return written && err == nil
}

// WriteEach writes transactions and returns the jobs whose records the store refuses. It returns false if Close stopped it.
func (c CommitWriter) WriteEach(writes []shard.JobWrite) ([]shard.FailedWrite, bool) {
	var failed failedWrites
	n, t := c.r.buildTxn(writes)
	ok := c.r.writeOrSplit(t, writes[:n], &failed)
	return failed.list, ok
}

// NoteJob notes the revision of a job's own record.
func (c CommitWriter) NoteJob(job string, revision int64) { c.r.revisions.NoteJob(job, revision) }

// Close stops the writer.
func (c CommitWriter) Close() { c.r.close() }

// Resume continues under a new owner key that this host has written.
func (c CommitWriter) Resume(ownerRevision int64) { c.r.resume(ownerRevision, 1, 0) }

// OwnerKey returns the key of the owner of shard 0.
func OwnerKey() string { return ownerKey(0) }

// ProgressKey returns the key of the progress record of a job in shard 0.
func ProgressKey(job string) string { return progressKey(0, job) }

// AnsweredKey returns the key of the mark of shard 0 that says which starts have responses.
func AnsweredKey() string { return answeredKey(0) }

// JobKey returns the key of a job's own record in shard 0.
func JobKey(job string) string { return jobKey(0, job) }

// DecodeJob returns the job in its own record, and whether it is one.
func (c CommitWriter) DecodeJob(kv kvstore.KV) (workflow.Job, bool) {
	j, _, ok := c.r.decodeJob(kv)
	return j, ok
}
