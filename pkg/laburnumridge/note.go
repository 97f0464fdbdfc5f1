package laburnumridge

// FieldChange is a field of an item that a note would change, with both values as text.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// HostRevision is the revision that an entry host applies.
type HostRevision struct {
	// AgeSeconds is the time since the host applied the revision.
	AgeSeconds float64 `json:"age_seconds"`
	Host       string  `json:"host"`
	// Reachable is false if the values are the last ones known of a host that does not answer.
	Reachable bool   `json:"reachable"`
	Revision  int64  `json:"revision"`
	Zone      string `json:"zone"`
}

// InForce lists the revision of each entry host and, if asked for, the note of one work.
type InForce struct {
	Hosts []HostRevision `json:"hosts"`
	// Revision is the highest revision that the answering host knows.
	Revision int64        `json:"revision"`
	Work     *WorkInForce `json:"work,omitempty"`
}

// ItemDetail is an item of an accepted note and what became of it.
type ItemDetail struct {
	Kind string `json:"kind,omitempty"`
	Name string `json:"name"`
	// Note is the accepted note that last changed the item.
	Note     string    `json:"note"`
	Revision int64     `json:"revision"`
	State    ItemState `json:"state"`
}

// ItemState is the state of an item of an accepted note.
type ItemState string

// States of an item of an accepted note.
const (
	ItemInForce ItemState = "in_force"
	// ItemSuperseded says that the item is in force by a later note.
	ItemSuperseded ItemState = "superseded"
	// ItemWithdrawn says that the item is not in force, by this note or a later one.
	ItemWithdrawn ItemState = "withdrawn"
)

// NoteDetail is an accepted note with its items.
type NoteDetail struct {
	PublishedNote
	Details []ItemDetail `json:"details"`
}

// Plan says what publishing a note would change.
type Plan struct {
	Added     []PlanItem     `json:"added,omitempty"`
	Changed   []PlanItem     `json:"changed,omitempty"`
	Conflicts []PlanConflict `json:"conflicts,omitempty"`
	Note      string         `json:"note"`
	// Revision is the revision that the plan was made against.
	Revision int64 `json:"revision"`
	// Unfit lists items that are accepted but wait, because they do not fit now.
	Unfit []PlanUnfit `json:"unfit,omitempty"`
	// Untouched names the work that the note does not list.
	Untouched []string   `json:"untouched,omitempty"`
	Withdrawn []PlanItem `json:"withdrawn,omitempty"`
}

// PlanConflict is an item that a later note changed since the revision that the author saw.
type PlanConflict struct {
	Item string `json:"item"`
	// Note is the accepted note that changed the item.
	Note     string `json:"note"`
	Reason   string `json:"reason"`
	Revision int64  `json:"revision"`
}

// PlanItem is an item of a note with what changes.
type PlanItem struct {
	Changes []FieldChange `json:"changes,omitempty"`
	Kind    string        `json:"kind,omitempty"`
	Name    string        `json:"name"`
}

// PlanUnfit is an item that would not fit now.
type PlanUnfit struct {
	Item   string `json:"item"`
	Reason string `json:"reason"`
	Zone   string `json:"zone,omitempty"`
}

// PublishedNote is a note that was accepted.
type PublishedNote struct {
	Amends string   `json:"amends,omitempty"`
	Author string   `json:"author,omitempty"`
	ID     string   `json:"id"`
	Items  []string `json:"items"`
	// Revision is the position of the note in the order of all notes.
	Revision int64 `json:"revision"`
}

// WorkInForce is the note by which a work is in force.
type WorkInForce struct {
	Note     string `json:"note"`
	Revision int64  `json:"revision"`
	Work     string `json:"work"`
}
