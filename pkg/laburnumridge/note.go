package laburnumridge

// FieldChange is a change of a field of an item, with the old and new value as text.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// HostRevision is the revision that an entry host has applied.
type HostRevision struct {
	// AgeSeconds is the time since the host applied the revision.
	AgeSeconds float64 `json:"age_seconds"`
	Host       string  `json:"host"`
	// Reachable is false if the host does not answer; the other values are then the last known ones.
	Reachable bool   `json:"reachable"`
	Revision  int64  `json:"revision"`
	Zone      string `json:"zone"`
}

// InForce contains the revision of each entry host and, if requested, the note by which a workload is in
// force.
type InForce struct {
	Hosts []HostRevision `json:"hosts"`
	// Revision is the highest revision that the answering host knows.
	Revision int64        `json:"revision"`
	Work     *WorkInForce `json:"work,omitempty"`
}

// ItemDetail is an item of an accepted note with its current state.
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
	// ItemSuperseded is an item that is in force by a later note.
	ItemSuperseded ItemState = "superseded"
	// ItemWithdrawn is an item that this note or a later one has withdrawn.
	ItemWithdrawn ItemState = "withdrawn"
)

// NoteDetail is an accepted note with the details of its items.
type NoteDetail struct {
	PublishedNote
	Details []ItemDetail `json:"details"`
}

// Plan lists what publishing a note would change.
type Plan struct {
	Added     []PlanItem     `json:"added,omitempty"`
	Changed   []PlanItem     `json:"changed,omitempty"`
	Conflicts []PlanConflict `json:"conflicts,omitempty"`
	Note      string         `json:"note"`
	// Revision is the revision with which the note was compared.
	Revision int64 `json:"revision"`
	// Unfit lists items that would be accepted but have to wait, because there is no capacity for them now.
	Unfit []PlanUnfit `json:"unfit,omitempty"`
	// Untouched contains the names of the items in force that the note does not list.
	Untouched []string   `json:"untouched,omitempty"`
	Withdrawn []PlanItem `json:"withdrawn,omitempty"`
}

// PlanConflict is an item that another note has changed since the note's base revision.
type PlanConflict struct {
	Item string `json:"item"`
	// Note is the accepted note that changed the item.
	Note     string `json:"note"`
	Reason   string `json:"reason"`
	Revision int64  `json:"revision"`
}

// PlanItem is an item of a note with the changes of its fields.
type PlanItem struct {
	Changes []FieldChange `json:"changes,omitempty"`
	Kind    string        `json:"kind,omitempty"`
	Name    string        `json:"name"`
}

// PlanUnfit is an item for which there is no capacity now.
type PlanUnfit struct {
	Item   string `json:"item"`
	Reason string `json:"reason"`
	Zone   string `json:"zone,omitempty"`
}

// PublishedNote is an accepted note.
type PublishedNote struct {
	Amends string   `json:"amends,omitempty"`
	Author string   `json:"author,omitempty"`
	ID     string   `json:"id"`
	Items  []string `json:"items"`
	// Revision is the position of the note in the order of all notes.
	Revision int64 `json:"revision"`
}

// WorkInForce is the note by which a workload is in force.
type WorkInForce struct {
	Note     string `json:"note"`
	Revision int64  `json:"revision"`
	Work     string `json:"work"`
}
