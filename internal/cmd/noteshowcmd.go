package cmd

import (
	"context"
	"fmt"
	"strconv"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type noteShowCmd struct {
	clientOptions
	outputOptions
	ID string `arg:"positional,required" help:"accepted note"`
}

func (c *noteShowCmd) run(streams *ioStreams) int {
	n, err := callEntryHost(c.clientOptions, func(ctx context.Context, client *laburnumridge.Client) (laburnumridge.NoteDetail, error) {
		return client.Note(ctx, c.ID)
	})
	switch {
	case err != nil:
		return streams.fail(err)
	case c.JSON:
		return streams.printJSON(n)
	}
	fmt.Fprintf(streams.stdout, "note %s, revision %d, author %s, amends %s\n",
		n.ID, n.Revision, orDash(n.Author), orDash(n.Amends))
	var rows [][]string
	for _, d := range n.Details {
		rows = append(rows, []string{
			d.Name, orDash(d.Kind), string(d.State), orDash(d.Note), strconv.FormatInt(d.Revision, 10),
		})
	}
	streams.printTable("ITEM KIND STATE LAST_NOTE REVISION", rows)
	return exitOK
}
