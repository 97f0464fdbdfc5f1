package cmd

import (
	"context"
	"strconv"
	"strings"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type noteListCmd struct {
	remote
	output
}

func (c *noteListCmd) run(sys *system) int {
	notes, err := ask(c.remote, func(ctx context.Context, client *laburnumridge.Client) ([]laburnumridge.PublishedNote, error) {
		return client.Notes(ctx)
	})
	switch {
	case err != nil:
		return sys.fail(err)
	case c.JSON:
		return sys.printJSON(notes)
	}
	var rows [][]string
	for _, n := range notes {
		rows = append(rows, []string{
			strconv.FormatInt(n.Revision, 10), n.ID, orDash(n.Author), orDash(n.Amends), strings.Join(n.Items, " "),
		})
	}
	sys.printTable("REVISION NOTE AUTHOR AMENDS ITEMS", rows)
	return exitDone
}

// orDash keeps an empty value visible in a table.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
