package cmd

import (
	"context"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type noteAmendCmd struct {
	remote
	output
	ID   string `arg:"positional,required" help:"accepted note that is amended"`
	File string `arg:"positional,required" help:"amending note in TOML, - for the standard input"`
}

func (c *noteAmendCmd) run(sys *system) int {
	amend := func(client *laburnumridge.Client, ctx context.Context, text []byte) (laburnumridge.PublishedNote, error) {
		return client.Amend(ctx, c.ID, text)
	}
	return publish(sys, c.remote, c.output, c.File, amend)
}
