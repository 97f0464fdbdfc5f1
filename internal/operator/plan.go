package operator

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// NoteDetailOf returns an accepted note with the current state of its items. Errors match laburnumridge.ErrNotFound.
func NoteDetailOf(c note.Catalogue, id string) (laburnumridge.NoteDetail, error) {
	p, ok := c.Note(id)
	if !ok {
		return laburnumridge.NoteDetail{}, notFound("note", id)
	}
	detail := laburnumridge.NoteDetail{PublishedNote: PublishedNoteOf(p)}
	for _, name := range p.Items {
		item, ok := c.Item(name)
		state := laburnumridge.ItemInForce
		switch {
		case !ok:
			item, _ = c.WithdrawnItem(name)
			state = laburnumridge.ItemWithdrawn
		case item.NoteID != id:
			state = laburnumridge.ItemSuperseded
		}
		detail.Details = append(detail.Details, laburnumridge.ItemDetail{
			Kind: string(item.Work.Kind), Name: name, Note: item.NoteID, Revision: item.ChangedRevision, State: state,
		})
	}
	return detail, nil
}

// PlanOf returns what a note would change in the catalogue. It does not set Plan.Unfit, which the caller determines from
// the capacity. Errors match note.ErrInvalid.
func PlanOf(c note.Catalogue, n note.Note) (laburnumridge.Plan, error) {
	plan := laburnumridge.Plan{Note: n.ID, Revision: c.Revision()}
	for _, item := range c.Conflicts(n) {
		plan.Conflicts = append(plan.Conflicts, laburnumridge.PlanConflict{
			Item:     item.Work.Name,
			Note:     item.NoteID,
			Reason:   fmt.Sprintf("changed at revision %d, base is %d", item.ChangedRevision, *n.Base),
			Revision: item.ChangedRevision,
		})
	}
	if len(plan.Conflicts) == 0 {
		if _, err := c.Apply(n); err != nil {
			return laburnumridge.Plan{}, err
		}
	}
	for _, w := range n.Added {
		plan.Added = append(plan.Added, planItem(note.Work{}, w))
	}
	for _, w := range n.Changed {
		item, _ := c.Item(w.Name)
		plan.Changed = append(plan.Changed, planItem(item.Work, w))
	}
	for _, name := range n.Withdrawn {
		item, _ := c.Item(name)
		plan.Withdrawn = append(plan.Withdrawn, laburnumridge.PlanItem{Kind: string(item.Work.Kind), Name: name})
	}
	listed := n.Items()
	for _, item := range c.Items() {
		if !slices.Contains(listed, item.Work.Name) {
			plan.Untouched = append(plan.Untouched, item.Work.Name)
		}
	}
	return plan, nil
}

// PublishedNoteOf returns the wire form of an accepted note.
func PublishedNoteOf(p note.AcceptedNote) laburnumridge.PublishedNote {
	return laburnumridge.PublishedNote{
		Amends: p.Amends, Author: p.Author, ID: p.ID, Items: p.Items, Revision: p.Revision,
	}
}

// WorkInForceOf returns the note by which a workload is in force. Errors match laburnumridge.ErrNotFound.
func WorkInForceOf(c note.Catalogue, work string) (*laburnumridge.WorkInForce, error) {
	item, ok := c.Item(work)
	if !ok {
		return nil, notFound("work", work)
	}
	return &laburnumridge.WorkInForce{Note: item.NoteID, Revision: item.ChangedRevision, Work: work}, nil
}

func planItem(from, to note.Work) laburnumridge.PlanItem {
	item := laburnumridge.PlanItem{Kind: string(to.Kind), Name: to.Name}
	before, after := fieldsOf(from), fieldsOf(to)
	for i, f := range after {
		if before[i].value != f.value {
			item.Changes = append(item.Changes, laburnumridge.FieldChange{
				Field: f.name, From: before[i].value, To: f.value,
			})
		}
	}
	return item
}

type field struct{ name, value string }

func fieldsOf(w note.Work) []field {
	return []field{
		{"team", w.Team},
		{"resources", w.Resources.String()},
		{"quota", w.Quota.String()},
		{"replicas_per_zone", strconv.Itoa(w.ReplicasPerZone)},
		{"share", strconv.FormatFloat(w.Share, 'g', -1, 64)},
		{"latency_target", w.LatencyTarget.String()},
		{"idempotent", strconv.FormatBool(w.Idempotent)},
		{"run_time", w.RunTime.String()},
		{"priority", strconv.Itoa(w.Priority)},
		{"every", w.Every.String()},
		{"deadline", w.Deadline.String()},
		{"checkpoint_interval", w.CheckpointInterval.String()},
	}
}
