package host

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
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

// LoadShardCounts reads the numbers of shards as each round of contention does.
func (h *Host) LoadShardCounts(ctx context.Context) error { return h.shards.loadShardCounts(ctx) }

// SetHostList replaces the host's view of the host list.
func (h *Host) SetHostList(hosts ...fleet.Host) {
	s := fleet.NewSnapshot(hosts...)
	h.hosts.current.Store(&s)
}

// ShardCount returns the number of shards of a zone as the host knows it.
func (h *Host) ShardCount(zone string) int { return h.shardCount(zone) }
