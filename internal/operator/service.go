package operator

import (
	"context"

	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// Service implements the operators' requests; all fields must be set. Errors match those of packages kvstore, note and
// laburnumridge; see ProblemOf.
type Service struct {
	Cancel  func(ctx context.Context, id string) (laburnumridge.JobStatus, error)
	Explain func(ctx context.Context, id string) (laburnumridge.Explanation, error)
	// InForce also returns the note by which a workload is in force, unless work is empty.
	InForce func(ctx context.Context, work string) (laburnumridge.InForce, error)
	Job     func(ctx context.Context, id string) (laburnumridge.JobStatus, error)
	Note    func(ctx context.Context, id string) (laburnumridge.NoteDetail, error)
	Notes   func(ctx context.Context) ([]laburnumridge.PublishedNote, error)
	Plan    func(ctx context.Context, n note.Note) (laburnumridge.Plan, error)
	// Publish returns the already accepted note if the same note is published again; see note.Catalogue.FindDuplicate.
	Publish func(ctx context.Context, n note.Note) (laburnumridge.PublishedNote, error)
	Status  func(ctx context.Context) (laburnumridge.Status, error)
	// Submit returns the status of the existing job if it is submitted again with the same id.
	Submit func(ctx context.Context, spec laburnumridge.JobSpec) (laburnumridge.JobStatus, error)
}
