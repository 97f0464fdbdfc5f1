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
	var w workerReport
	var out ledger.WorkerReport
	for _, r := range reports {
		out = w.merge(ledger.Contact{Worker: id}, r)
	}
	return out
}

// Notes gives tests the notes of a host without a platform.
type Notes struct{ *notes }

// NewNotes returns notes at revision 0.
func NewNotes(log *logrus.Entry) Notes {
	return Notes{&notes{
		onApplied: func(note.Catalogue) {}, check: invariant.New(log), log: log, ring: explain.New("a", log),
	}}
}

// Revision returns the revision applied.
func (n Notes) Revision() int64 { return n.revision() }

// Since returns what a peer at a revision lacks.
func (n Notes) Since(revision int64) (peer.NotesReply, error) { return n.since(revision) }

// ApplyReply applies what a peer sent.
func (n Notes) ApplyReply(after int64, reply peer.NotesReply) error {
	return n.applyReply(after, reply)
}
