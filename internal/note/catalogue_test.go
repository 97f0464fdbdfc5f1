package note_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

func serviceWorkload(name string, replicas int) note.Work {
	return note.Work{
		Kind: note.KindService, Name: name, ReplicasPerZone: replicas,
		Resources: fleet.Resources{CPUMilli: 100, MemoryMiB: 100, Slots: 1},
	}
}

func apply(t *testing.T, c note.Catalogue, notes ...note.Note) note.Catalogue {
	t.Helper()
	for _, n := range notes {
		assert.NilError(t, n.Check())
		next, err := c.Apply(n)
		assert.NilError(t, err)
		c = next
	}
	return c
}

// TestConcurrentNotesConflict guards against a note that silently overwrites a change made after its base, and against
// refusing concurrent notes that have no item in common.
func TestConcurrentNotesConflict(t *testing.T) {
	c := apply(t, note.Catalogue{}, note.Note{ID: "first", Added: []note.Work{serviceWorkload("a", 1), serviceWorkload("b", 1)}})
	base := c.Revision()
	c = apply(t, c, note.Note{ID: "anna", Changed: []note.Work{serviceWorkload("a", 2)}}.WithBase(base))

	late := note.Note{ID: "ben", Changed: []note.Work{serviceWorkload("a", 3)}}.WithBase(base)
	_, err := c.Apply(late)
	assert.ErrorIs(t, err, note.ErrConflict)
	assert.ErrorContains(t, err, "item a was changed by note anna at revision 2")
	assert.Equal(t, len(c.Conflicts(late)), 1)

	c = apply(t, c, note.Note{ID: "ben", Changed: []note.Work{serviceWorkload("b", 3)}}.WithBase(base))
	a, _ := c.Item("a")
	assert.Equal(t, a.Work.ReplicasPerZone, 2)

	c = apply(t, c, note.Note{ID: "cleanup", Withdrawn: []string{"b"}})
	_, err = c.Apply(note.Note{ID: "again", Added: []note.Work{serviceWorkload("b", 1)}}.WithBase(base))
	assert.ErrorIs(t, err, note.ErrConflict, "a withdrawal after the base must count as a change")
}

// TestApplyRejectsInconsistentNotes guards against accepting notes that contradict the catalogue.
func TestApplyRejectsInconsistentNotes(t *testing.T) {
	owned := serviceWorkload("owned", 1)
	owned.Team = "ghosts"
	batch := note.Work{Kind: note.KindBatch, Name: "a"}
	c := apply(t, note.Catalogue{},
		note.Note{ID: "n1", Added: []note.Work{serviceWorkload("a", 1)}},
		note.Note{ID: "n2", Added: []note.Work{serviceWorkload("b", 1)}})
	for name, tc := range map[string]struct {
		n    note.Note
		want string
	}{
		"added again":          {note.Note{ID: "x", Added: []note.Work{serviceWorkload("a", 1)}}, "already in force by note n1"},
		"amends nothing":       {note.Note{ID: "x", Amends: "n9", Withdrawn: []string{"a"}}, "not an accepted note"},
		"amends outside":       {note.Note{ID: "x", Amends: "n1", Withdrawn: []string{"b"}}, "not in the amended note n1"},
		"base in the future":   {note.Note{ID: "x", Withdrawn: []string{"a"}}.WithBase(9), "above the revision"},
		"changed but absent":   {note.Note{ID: "x", Changed: []note.Work{serviceWorkload("c", 1)}}, "not in force"},
		"kind changes":         {note.Note{ID: "x", Changed: []note.Work{batch}}, "can't become a batch"},
		"same id":              {note.Note{ID: "n1", Withdrawn: []string{"a"}}, "accepted at revision 1"},
		"team absent":          {note.Note{ID: "x", Added: []note.Work{owned}}, "team ghosts, which is not in force"},
		"withdrawn but absent": {note.Note{ID: "x", Withdrawn: []string{"c"}}, "listed as withdrawn"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := c.Apply(tc.n)
			assert.ErrorIs(t, err, note.ErrInvalid)
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

// TestRepeatedNoteIsRecognised guards against refusing a note that is sent again after a lost response, and against
// taking another note with the same id for a repeat.
func TestRepeatedNoteIsRecognised(t *testing.T) {
	n := note.Note{ID: "n1", Added: []note.Work{serviceWorkload("a", 1)}}
	c := apply(t, note.Catalogue{}, n)
	p, ok := c.FindDuplicate(n.WithBase(0))
	assert.Assert(t, ok)
	assert.Equal(t, p.Revision, int64(1))
	_, ok = c.FindDuplicate(note.Note{ID: "n1", Added: []note.Work{serviceWorkload("a", 2)}})
	assert.Assert(t, !ok)
}

// TestApplyChangesOnlyListedItems guards against a note that changes items that it does not list, a replay of the notes
// that gives another catalogue, and a snapshot that loses information.
func TestApplyChangesOnlyListedItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c note.Catalogue
		var accepted []note.Note
		for i := range rapid.IntRange(1, 12).Draw(t, "notes") {
			n := randomNote(t, c, i)
			next, err := c.Apply(n)
			if err != nil {
				continue
			}
			listed := map[string]bool{}
			for _, name := range n.Items() {
				listed[name] = true
			}
			for _, item := range c.Items() {
				after, ok := next.Item(item.Work.Name)
				if !listed[item.Work.Name] && (!ok || after != item) {
					t.Fatalf("note %s changed %s, which it does not list", n.ID, item.Work.Name)
				}
			}
			c, accepted = next, append(accepted, n)
		}
		var replayed, restored note.Catalogue
		for _, n := range accepted {
			var err error
			replayed, err = replayed.Apply(n)
			assert.NilError(t, err)
		}
		assert.Equal(t, marshal(t, replayed), marshal(t, c))
		assert.NilError(t, json.Unmarshal([]byte(marshal(t, c)), &restored))
		assert.Equal(t, marshal(t, restored), marshal(t, c))
		last := randomNote(t, c, 99)
		_, want := c.Apply(last)
		_, got := restored.Apply(last)
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(want))
	})
}

// randomNote returns a note over four names only, so that notes often conflict.
func randomNote(t *rapid.T, c note.Catalogue, i int) note.Note {
	n := note.Note{ID: fmt.Sprintf("n%d", i)}
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3, rapid.ID[string])
	for _, name := range names.Draw(t, "names") {
		w := serviceWorkload(name, rapid.IntRange(1, 5).Draw(t, "replicas"))
		switch _, ok := c.Item(name); {
		case !ok:
			n.Added = append(n.Added, w)
		case rapid.Bool().Draw(t, "withdraw"):
			n.Withdrawn = append(n.Withdrawn, name)
		default:
			n.Changed = append(n.Changed, w)
		}
	}
	if rapid.Bool().Draw(t, "has base") {
		n = n.WithBase(rapid.Int64Range(0, c.Revision()).Draw(t, "base"))
	}
	return n
}

func marshal(t assert.TestingT, c note.Catalogue) string {
	text, err := json.Marshal(c)
	assert.NilError(t, err)
	return string(text)
}
