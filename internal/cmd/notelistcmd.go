package cmd

import (
	"context"
	"strconv"
	"strings"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type noteListCmd struct {
	clientOptions
	outputOptions
}

func (c *noteListCmd) run(streams *ioStreams) int {
	notes, err := callEntryHost(c.clientOptions, func(ctx context.Context, client *laburnumridge.Client) ([]laburnumridge.PublishedNote, error) {
		return client.Notes(ctx)
	})
	switch {
	case err != nil:
		return streams.fail(err)
	case c.JSON:
		return streams.printJSON(notes)
	}
	var rows [][]string
	for _, n := range notes {
		rows = append(rows, []string{
			strconv.FormatInt(n.Revision, 10), n.ID, orDash(n.Author), orDash(n.Amends), strings.Join(n.Items, " "),
		})
	}
	streams.printTable("REVISION NOTE AUTHOR AMENDS ITEMS", rows)
	return exitOK
}

// orDash returns "-" for an empty string, so that table columns are never blank.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
