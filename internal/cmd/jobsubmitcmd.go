package cmd

import (
	"context"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type jobSubmitCmd struct {
	clientOptions
	outputOptions
	ID    string `arg:"--id" help:"job id; repeating a submission with the same id is safe [default: a new ULID]"`
	Tasks int    `arg:"--tasks" default:"1" help:"number of tasks"`
	Work  string `arg:"positional,required" help:"batch work of the catalogue"`
	Zone  string `arg:"--zone" help:"zone that runs the job [default: chosen by the entry host]"`
}

func (c *jobSubmitCmd) run(streams *ioStreams) int {
	spec := laburnumridge.JobSpec{ID: c.ID, Tasks: c.Tasks, Work: c.Work, Zone: c.Zone}
	if spec.ID == "" {
		spec.ID = ulid.Make().String()
	}
	return callAndPrintJob(streams, c.clientOptions, c.outputOptions, func(ctx context.Context, client *laburnumridge.Client) (laburnumridge.JobStatus, error) {
		j, err := client.SubmitJob(ctx, spec)
		// The id is part of the error because the operator needs it to safely retry a submission whose outcome is
		// unknown.
		return j, eris.Wrapf(err, "job %s", spec.ID)
	})
}
