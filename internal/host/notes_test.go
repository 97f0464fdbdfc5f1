package host_test

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/host"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/peer"
)

// TestNotesOfPeersAreContiguousAndNeverRevert guards against a host that skips a note, applies one twice or reverts
// to an earlier catalogue because of what its peers send.
func TestNotesOfPeersAreContiguousAndNeverRevert(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := host.NewNotes(logrus.NewEntry(log))
	var notes [][]byte
	for i := range 4 {
		data, err := json.Marshal(note.Note{
			Added: []note.Work{{Kind: note.KindTeam, Name: fmt.Sprint("team-", i), Quota: fleet.Resources{CPUMilli: 1}}},
			ID:    fmt.Sprint("note-", i),
		})
		assert.NilError(t, err)
		notes = append(notes, data)
	}
	assert.NilError(t, n.ApplyReply(0, peer.NotesReply{Notes: notes[:2]}))
	assert.Equal(t, n.Revision(), int64(2))
	old, err := n.Since(-100) // the whole catalogue
	assert.NilError(t, err)
	assert.Assert(t, len(old.Catalogue) > 0)

	assert.ErrorContains(t, n.ApplyReply(3, peer.NotesReply{Notes: notes[3:]}), "does not follow")
	assert.Equal(t, n.Revision(), int64(2))
	assert.NilError(t, n.ApplyReply(0, peer.NotesReply{Notes: notes}), "notes that are applied already change nothing")
	assert.Equal(t, n.Revision(), int64(4))
	assert.NilError(t, n.ApplyReply(0, old))
	assert.Equal(t, n.Revision(), int64(4))
}
