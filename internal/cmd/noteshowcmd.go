package cmd

import (
	"context"
	"fmt"
	"strconv"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type noteShowCmd struct {
	remote
	output
	ID string `arg:"positional,required" help:"accepted note"`
}

func (c *noteShowCmd) run(sys *system) int {
	n, err := ask(c.remote, func(ctx context.Context, client *laburnumridge.Client) (laburnumridge.NoteDetail, error) {
		return client.Note(ctx, c.ID)
	})
	switch {
	case err != nil:
		return sys.fail(err)
	case c.JSON:
		return sys.printJSON(n)
	}
	fmt.Fprintf(sys.stdout, "note %s, revision %d, author %s, amends %s\n",
		n.ID, n.Revision, orDash(n.Author), orDash(n.Amends))
	var rows [][]string
	for _, d := range n.Details {
		rows = append(rows, []string{
			d.Name, orDash(d.Kind), string(d.State), orDash(d.Note), strconv.FormatInt(d.Revision, 10),
		})
	}
	sys.printTable("ITEM KIND STATE LAST_NOTE REVISION", rows)
	return exitDone
}
