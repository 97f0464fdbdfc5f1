package jobrecord_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/jobrecord"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

const id = "00000000000000aa"

func newRevisions() *jobrecord.Revisions {
	return jobrecord.New(jobrecord.WithKeys(func(id string) string { return "job/" + id }, func(id string) string { return "progress/" + id }))
}

// Guards against a first progress record whose guards hold again once the job has ended.
func TestFirstProgressIsGuardedByJob(t *testing.T) {
	r := newRevisions()
	r.NoteJob(id, 12)
	assert.DeepEqual(t, r.Guards(id), []kvstore.Guard{{Key: "progress/" + id}, {Key: "job/" + id, Revision: 12}})
	r.NoteProgress(id, 13)
	assert.DeepEqual(t, r.Guards(id), []kvstore.Guard{{Key: "progress/" + id, Revision: 13}})
	r.Forget(id)
	assert.Equal(t, r.Guards(id)[1].Revision, int64(jobrecord.UnknownRevision))
}

// Guards against a record that is written for a job which has ended, and against a job that is taken for ended because its record was written anew.
func TestPresentRevisionsAreAdopted(t *testing.T) {
	r := newRevisions()
	r.NoteJob(id, 12)
	assert.NilError(t, r.Adopt(id, map[string]kvstore.KV{"job/" + id: {ModRevision: 20}, "progress/" + id: {}}))
	assert.Equal(t, r.Guards(id)[1].Revision, int64(20))
	assert.NilError(t, r.Adopt(id, map[string]kvstore.KV{"job/" + id: {ModRevision: 20}, "progress/" + id: {ModRevision: 21}}))
	assert.DeepEqual(t, r.Guards(id), []kvstore.Guard{{Key: "progress/" + id, Revision: 21}})
	assert.ErrorIs(t, r.Adopt(id, map[string]kvstore.KV{"job/" + id: {}}), jobrecord.ErrJobGone)
}
