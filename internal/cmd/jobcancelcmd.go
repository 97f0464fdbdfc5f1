package cmd

import (
	"context"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type jobCancelCmd struct {
	clientOptions
	outputOptions
	ID string `arg:"positional,required" help:"job id"`
}

func (c *jobCancelCmd) run(streams *ioStreams) int {
	return callAndPrintJob(streams, c.clientOptions, c.outputOptions, func(ctx context.Context, client *laburnumridge.Client) (laburnumridge.JobStatus, error) {
		return client.CancelJob(ctx, c.ID)
	})
}
