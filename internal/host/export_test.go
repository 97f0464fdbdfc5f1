package host

import (
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/invariant"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// MergeReports returns the state that an owner derives from the reports of a worker.
func MergeReports(id string, reports ...worker.Report) ledger.WorkerReport {
	var w workerState
	var out ledger.WorkerReport
	for _, r := range reports {
		out = w.merge(ledger.Contact{Worker: id}, r)
	}
	return out
}

// Notes gives tests access to the notes of a host without a platform.
type Notes struct{ *notes }

// NewNotes returns notes at revision 0.
func NewNotes(log *logrus.Entry) Notes {
	return Notes{&notes{
		onApplied: func(note.Catalogue) {}, invariants: invariant.New(log), log: log, decisions: explain.New("a", log),
	}}
}

// Revision returns the revision of the catalogue.
func (n Notes) Revision() int64 { return n.revision() }

// Since returns the notes after a revision, or the whole catalogue.
func (n Notes) Since(revision int64) (peer.NotesReply, error) { return n.since(revision) }

// ApplyReply applies a peer's reply to a request for the notes after a revision.
func (n Notes) ApplyReply(after int64, reply peer.NotesReply) error {
	return n.applyReply(after, reply)
}
