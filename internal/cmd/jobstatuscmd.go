package cmd

import (
	"context"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type jobStatusCmd struct {
	remote
	output
	ID string `arg:"positional,required" help:"job id"`
}

func (c *jobStatusCmd) run(sys *system) int {
	return runJob(sys, c.remote, c.output, func(ctx context.Context, client *laburnumridge.Client) (laburnumridge.JobStatus, error) {
		return client.Job(ctx, c.ID)
	})
}
