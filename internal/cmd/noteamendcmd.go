package cmd

import (
	"context"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type noteAmendCmd struct {
	clientOptions
	outputOptions
	ID   string `arg:"positional,required" help:"accepted note that is amended"`
	File string `arg:"positional,required" help:"amending note in TOML, - for the standard input"`
}

func (c *noteAmendCmd) run(streams *ioStreams) int {
	amend := func(client *laburnumridge.Client, ctx context.Context, text []byte) (laburnumridge.PublishedNote, error) {
		return client.Amend(ctx, c.ID, text)
	}
	return publishNote(streams, c.clientOptions, c.outputOptions, c.File, amend)
}
