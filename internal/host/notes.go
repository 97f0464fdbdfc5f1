package host

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/invariant"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// Limits of the note log.
const (
	notesPrefix     = "notes"
	publishAttempts = 16
	// maxRecentNotes is how many notes a host keeps to pass on one by one. A peer that is further behind gets the
	// whole catalogue.
	maxRecentNotes = 64
)

// notes holds the catalogue of a host, applies notes to it and publishes notes.
type notes struct {
	onApplied  func(note.Catalogue)
	invariants *invariant.Checker
	// loaded is set once the catalogue was read from the platform or received from a peer; it may be empty.
	loaded atomic.Bool
	log    *logrus.Entry
	mu     sync.Mutex
	// publishing serialises this host's appends.
	publishing sync.Mutex
	catalogue  note.Catalogue
	appliedAt  time.Time
	recent     map[int64][]byte // encoded, by revision
	decisions  *explain.Ring
	store      kvstore.Store
}

func (n *notes) current() (note.Catalogue, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.catalogue, n.appliedAt
}

func (n *notes) revision() int64 {
	c, _ := n.current()
	return c.Revision()
}

// run applies the notes of the platform's note log until ctx ends.
func (n *notes) run(ctx context.Context) {
	watchPrefix(ctx, n.store, notesPrefix+"/", n.log, func(map[string]kvstore.KV) {
		if err := n.reload(ctx); err != nil && ctx.Err() == nil {
			n.log.WithError(err).Warn("failed to read the note log; its next change triggers another read")
		}
	})
}

func (n *notes) reload(ctx context.Context) error {
	_, err := n.load(ctx)
	return err
}

func (n *notes) load(ctx context.Context) (*kvstore.Log, error) {
	l := kvstore.NewLog(n.store, notesPrefix)
	snap, entries, err := l.Load(ctx)
	if err != nil {
		return nil, err
	}
	if snap.Seq > n.revision() {
		if err := n.replaceCatalogue(snap.Data); err != nil {
			return nil, err
		}
	}
	for _, e := range entries {
		if err := n.apply(e.Seq, e.Data); err != nil {
			return nil, err
		}
	}
	n.loaded.Store(true)
	return l, nil
}

// replaceCatalogue replaces the catalogue by a later one; an earlier one is ignored.
func (n *notes) replaceCatalogue(data []byte) error {
	var c note.Catalogue
	if err := json.Unmarshal(data, &c); err != nil {
		return eris.Wrap(err, "catalogue")
	}
	n.mu.Lock()
	if c.Revision() <= n.catalogue.Revision() {
		n.mu.Unlock()
		return nil
	}
	n.catalogue, n.appliedAt = c, time.Now()
	n.mu.Unlock()
	n.decisions.Add(explain.Decision{
		Decision: "note_apply", Reason: "catalogue adopted", Revision: c.Revision(),
	})
	n.onApplied(c)
	return nil
}

// apply applies the note at a revision if it is the next one. An earlier note is ignored, a later one is an error.
func (n *notes) apply(revision int64, data []byte) error {
	n.mu.Lock()
	before := n.catalogue
	if revision <= before.Revision() {
		n.mu.Unlock()
		return nil
	}
	if revision != before.Revision()+1 {
		n.mu.Unlock()
		return eris.Errorf("note at revision %d does not follow %d", revision, before.Revision())
	}
	var in note.Note
	if err := json.Unmarshal(data, &in); err != nil {
		n.mu.Unlock()
		return eris.Wrapf(err, "note at revision %d", revision)
	}
	after, err := before.Apply(in)
	if err != nil {
		n.mu.Unlock()
		return eris.Wrapf(err, "note at revision %d", revision)
	}
	n.catalogue, n.appliedAt = after, time.Now()
	if n.recent == nil {
		n.recent = map[int64][]byte{}
	}
	n.recent[revision] = data
	delete(n.recent, revision-maxRecentNotes)
	n.mu.Unlock()
	n.checkUnlistedUnchanged(before, after, in)
	n.decisions.Add(explain.Decision{
		Decision: "note_apply", Note: in.ID, Reason: "next revision of the note log", Revision: revision,
	})
	n.onApplied(after)
	return nil
}

// checkUnlistedUnchanged asserts that a note changed no item that it does not list.
func (n *notes) checkUnlistedUnchanged(before, after note.Catalogue, in note.Note) {
	listed := map[string]bool{}
	for _, name := range in.Items() {
		listed[name] = true
	}
	same := after.Revision() == before.Revision()+1
	for _, item := range before.Items() {
		now, ok := after.Item(item.Work.Name)
		if !listed[item.Work.Name] && (!ok || now != item) {
			same = false
		}
	}
	n.invariants.Check(invariant.NoteInForce, same, "note "+in.ID+" changed work that it does not list")
}

// publish appends a note to the note log. Errors match note.ErrConflict, note.ErrInvalid, kvstore.ErrUnavailable or
// kvstore.ErrUnknownOutcome. A note that was already accepted with the same id and content is not accepted again.
func (n *notes) publish(ctx context.Context, in note.Note) (note.AcceptedNote, error) {
	n.publishing.Lock()
	defer n.publishing.Unlock()
	for range publishAttempts {
		l, err := n.load(ctx)
		if err != nil {
			return note.AcceptedNote{}, err
		}
		c, _ := n.current()
		if done, ok := c.FindDuplicate(in); ok {
			return done, nil
		}
		if _, err := c.Apply(in); err != nil {
			return note.AcceptedNote{}, err
		}
		if l.SnapshotDue() {
			if err := n.saveSnapshot(ctx, l, c); err != nil {
				n.log.WithError(err).Warn("failed to save a snapshot of the catalogue; trying again at the next note")
			}
		}
		data, err := json.Marshal(in)
		if err != nil {
			return note.AcceptedNote{}, eris.Wrapf(err, "note %s", in.ID)
		}
		err = n.appendEntry(ctx, l, kvstore.NewEntry(c.Revision(), data))
		if errors.Is(err, kvstore.ErrBehind) {
			continue
		}
		if err != nil {
			return note.AcceptedNote{}, err
		}
		if err := n.apply(c.Revision()+1, data); err != nil {
			return note.AcceptedNote{}, err
		}
		now, _ := n.current()
		done, _ := now.Note(in.ID)
		return done, nil
	}
	return note.AcceptedNote{}, eris.Wrapf(kvstore.ErrUnavailable, "note %s: the log moved %d times", in.ID, publishAttempts)
}

// appendEntry repeats an append whose outcome is unknown, which is safe because an entry takes effect only once.
func (n *notes) appendEntry(ctx context.Context, l *kvstore.Log, e kvstore.Entry) error {
	for {
		err := l.Append(ctx, e)
		if !errors.Is(err, kvstore.ErrUnknownOutcome) || ctx.Err() != nil {
			return err
		}
		retry.Sleep(ctx, jitter(200*time.Millisecond))
	}
}

func (n *notes) saveSnapshot(ctx context.Context, l *kvstore.Log, c note.Catalogue) error {
	data, err := json.Marshal(c)
	if err != nil {
		return eris.Wrap(err, "catalogue")
	}
	return l.SaveSnapshot(ctx, kvstore.Snapshot{Data: data, Seq: c.Revision()})
}

// since returns the notes after a revision, or the whole catalogue if some of them are no longer kept.
func (n *notes) since(revision int64) (peer.NotesReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out peer.NotesReply
	for r := revision + 1; r <= n.catalogue.Revision(); r++ {
		data, ok := n.recent[r]
		if !ok {
			catalogue, err := json.Marshal(n.catalogue)
			return peer.NotesReply{Catalogue: catalogue}, eris.Wrap(err, "catalogue")
		}
		out.Notes = append(out.Notes, data)
	}
	return out, nil
}

// applyReply applies a peer's reply to a request for the notes after a revision.
func (n *notes) applyReply(after int64, reply peer.NotesReply) error {
	defer n.loaded.Store(true)
	if len(reply.Catalogue) > 0 {
		return n.replaceCatalogue(reply.Catalogue)
	}
	for i, data := range reply.Notes {
		if err := n.apply(after+1+int64(i), data); err != nil {
			return err
		}
	}
	return nil
}
