package cmd

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type inForceCmd struct {
	remote
	output
	Work string `arg:"--work" help:"also show the note by which this work is in force" placeholder:"NAME"`
}

func (c *inForceCmd) run(sys *system) int {
	in, err := ask(c.remote, func(ctx context.Context, client *laburnumridge.Client) (laburnumridge.InForce, error) {
		return client.InForce(ctx, c.Work)
	})
	switch {
	case err != nil:
		return sys.fail(err)
	case c.JSON:
		return sys.printJSON(in)
	}
	fmt.Fprintf(sys.stdout, "revision %d\n", in.Revision)
	if w := in.Work; w != nil {
		fmt.Fprintf(sys.stdout, "work %s is in force by note %s at revision %d\n", w.Work, w.Note, w.Revision)
	}
	var rows [][]string
	for _, h := range in.Hosts {
		age := time.Duration(h.AgeSeconds * float64(time.Second)).Round(100 * time.Millisecond)
		rows = append(rows, []string{
			h.Zone, h.Host, strconv.FormatInt(h.Revision, 10), age.String(), yesNo(h.Reachable),
		})
	}
	sys.printTable("ZONE HOST REVISION AGE REACHABLE", rows)
	return exitDone
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
