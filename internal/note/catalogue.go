package note

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// Item is an entry of the catalogue, with the note that last changed it and the revision of that note.
type Item struct {
	ChangedRevision int64  `json:"changed_at"`
	NoteID          string `json:"note_id"`
	Work            Work   `json:"work"`
}

// AcceptedNote is the record of an accepted note.
type AcceptedNote struct {
	Amends string `json:"amends,omitempty"`
	Author string `json:"author,omitempty"`
	// Digest is the result of Note.Digest.
	Digest   string   `json:"digest,omitempty"`
	ID       string   `json:"id"`
	Items    []string `json:"items"`
	Revision int64    `json:"revision"`
}

// Catalogue is the immutable desired state after all accepted notes up to a revision.
type Catalogue struct {
	items    map[string]Item
	notes    map[string]AcceptedNote
	revision int64
	// withdrawn keeps withdrawn names with their revisions, so that Conflicts finds a withdrawal after a note's base.
	withdrawn map[string]Item
}

type catalogueSnapshot struct {
	Items     []Item         `json:"items"`
	Notes     []AcceptedNote `json:"notes"`
	Revision  int64          `json:"revision"`
	Withdrawn []Item         `json:"withdrawn"`
}

// FindDuplicate returns the record of n if it was accepted before. Publishers call it before Apply, so that a note that
// is sent again after a lost response is accepted once. A note with the same id but other content is not a duplicate.
func (c Catalogue) FindDuplicate(n Note) (AcceptedNote, bool) {
	p, ok := c.notes[n.ID]
	return p, ok && p.Digest == n.Digest()
}

// Apply returns the catalogue after the note, at the next revision. Errors match ErrConflict or ErrInvalid; with an
// error, the returned catalogue must not be used.
func (c Catalogue) Apply(n Note) (Catalogue, error) {
	if err := c.validate(n); err != nil {
		return c, err
	}
	next := Catalogue{
		items:     maps.Clone(c.items),
		notes:     maps.Clone(c.notes),
		revision:  c.revision + 1,
		withdrawn: maps.Clone(c.withdrawn),
	}
	if next.items == nil {
		next.items, next.notes, next.withdrawn = map[string]Item{}, map[string]AcceptedNote{}, map[string]Item{}
	}
	for _, w := range slices.Concat(n.Added, n.Changed) {
		next.items[w.Name] = Item{ChangedRevision: next.revision, NoteID: n.ID, Work: w}
		delete(next.withdrawn, w.Name)
	}
	for _, name := range n.Withdrawn {
		delete(next.items, name)
		next.withdrawn[name] = Item{ChangedRevision: next.revision, NoteID: n.ID, Work: Work{Name: name}}
	}
	next.notes[n.ID] = AcceptedNote{
		Amends: n.Amends, Author: n.Author, Digest: n.Digest(), ID: n.ID, Items: n.Items(), Revision: next.revision,
	}
	return next, next.checkTeamReferences(n)
}

// Conflicts returns those items of the note that another note changed or withdrew after its base, in their current state.
func (c Catalogue) Conflicts(n Note) []Item {
	if n.Base == nil {
		return nil
	}
	var out []Item
	for _, name := range n.Items() {
		item, ok := c.items[name]
		if !ok {
			item = c.withdrawn[name]
		}
		if item.ChangedRevision > *n.Base {
			out = append(out, item)
		}
	}
	return out
}

// Item returns the item in force under a name.
func (c Catalogue) Item(name string) (Item, bool) {
	item, ok := c.items[name]
	return item, ok
}

// Items returns all items in force, sorted by name.
func (c Catalogue) Items() []Item {
	var out []Item
	for _, name := range slices.Sorted(maps.Keys(c.items)) {
		out = append(out, c.items[name])
	}
	return out
}

// MarshalJSON encodes the catalogue as a snapshot of the note log.
func (c Catalogue) MarshalJSON() ([]byte, error) {
	out := catalogueSnapshot{Items: c.Items(), Notes: c.Notes(), Revision: c.revision}
	for _, name := range slices.Sorted(maps.Keys(c.withdrawn)) {
		out.Withdrawn = append(out.Withdrawn, c.withdrawn[name])
	}
	return json.Marshal(out)
}

// Note returns an accepted note by id.
func (c Catalogue) Note(id string) (AcceptedNote, bool) {
	p, ok := c.notes[id]
	return p, ok
}

// Notes returns all accepted notes, sorted by revision.
func (c Catalogue) Notes() []AcceptedNote {
	return slices.SortedFunc(maps.Values(c.notes), func(a, b AcceptedNote) int {
		return int(a.Revision - b.Revision)
	})
}

// Revision returns the number of notes applied.
func (c Catalogue) Revision() int64 { return c.revision }

// UnmarshalJSON decodes a snapshot of the note log.
func (c *Catalogue) UnmarshalJSON(data []byte) error {
	var in catalogueSnapshot
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	*c = Catalogue{
		items: map[string]Item{}, notes: map[string]AcceptedNote{},
		revision: in.Revision, withdrawn: map[string]Item{},
	}
	for _, item := range in.Items {
		c.items[item.Work.Name] = item
	}
	for _, n := range in.Notes {
		c.notes[n.ID] = n
	}
	for _, item := range in.Withdrawn {
		c.withdrawn[item.Work.Name] = item
	}
	return nil
}

// WithdrawnItem returns a withdrawn item: its name, the note that withdrew it and the revision of that note.
func (c Catalogue) WithdrawnItem(name string) (Item, bool) {
	item, ok := c.withdrawn[name]
	return item, ok
}

func (c Catalogue) validate(n Note) error {
	if _, ok := c.notes[n.ID]; ok {
		return invalid(n.ID, "a note with this id was accepted at revision %d", c.notes[n.ID].Revision)
	}
	if err := c.validateAmendment(n); err != nil {
		return err
	}
	base := c.revision
	if n.Base != nil {
		base = *n.Base
	}
	if base > c.revision {
		return invalid(n.ID, "base %d is above the revision in force, %d", base, c.revision)
	}
	for _, item := range c.Conflicts(n) {
		return eris.Wrapf(ErrConflict, "item %s was changed by note %s at revision %d, base is %d",
			item.Work.Name, item.NoteID, item.ChangedRevision, base)
	}
	return c.validateNames(n)
}

func (c Catalogue) validateAmendment(n Note) error {
	if n.Amends == "" {
		return nil
	}
	amended, ok := c.notes[n.Amends]
	if !ok {
		return invalid(n.ID, "amends %q, which is not an accepted note", n.Amends)
	}
	for _, name := range n.Items() {
		if !slices.Contains(amended.Items, name) {
			return invalid(n.ID, "item %s is not in the amended note %s", name, n.Amends)
		}
	}
	return nil
}

func (c Catalogue) validateNames(n Note) error {
	for _, w := range n.Added {
		if item, ok := c.items[w.Name]; ok {
			return invalid(w.Name, "is already in force by note %s; list it as changed", item.NoteID)
		}
	}
	for _, w := range n.Changed {
		item, ok := c.items[w.Name]
		if !ok {
			return invalid(w.Name, "is listed as changed but is not in force")
		}
		if item.Work.Kind != w.Kind {
			return invalid(w.Name, "is a %s and can't become a %s; withdraw it first", item.Work.Kind, w.Kind)
		}
	}
	for _, name := range n.Withdrawn {
		if _, ok := c.items[name]; !ok {
			return invalid(name, "is listed as withdrawn but is not in force")
		}
	}
	return nil
}

// checkTeamReferences returns an error if an item refers to a team that is not in force after the note.
func (c Catalogue) checkTeamReferences(n Note) error {
	for _, item := range c.items {
		if item.Work.Team == "" {
			continue
		}
		team, ok := c.items[item.Work.Team]
		if !ok || team.Work.Kind != KindTeam {
			return invalid(n.ID, "work %s belongs to team %s, which is not in force", item.Work.Name, item.Work.Team)
		}
	}
	return nil
}
