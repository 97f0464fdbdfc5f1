package cmd

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type inForceCmd struct {
	clientOptions
	outputOptions
	Work string `arg:"--work" help:"also show the note by which this work is in force" placeholder:"NAME"`
}

func (c *inForceCmd) run(streams *ioStreams) int {
	inForce, err := callEntryHost(c.clientOptions, func(ctx context.Context, client *laburnumridge.Client) (laburnumridge.InForce, error) {
		return client.InForce(ctx, c.Work)
	})
	switch {
	case err != nil:
		return streams.fail(err)
	case c.JSON:
		return streams.printJSON(inForce)
	}
	fmt.Fprintf(streams.stdout, "revision %d\n", inForce.Revision)
	if w := inForce.Work; w != nil {
		fmt.Fprintf(streams.stdout, "work %s is in force by note %s at revision %d\n", w.Work, w.Note, w.Revision)
	}
	var rows [][]string
	for _, h := range inForce.Hosts {
		age := time.Duration(h.AgeSeconds * float64(time.Second)).Round(100 * time.Millisecond)
		rows = append(rows, []string{
			h.Zone, h.Host, strconv.FormatInt(h.Revision, 10), age.String(), yesNo(h.Reachable),
		})
	}
	streams.printTable("ZONE HOST REVISION AGE REACHABLE", rows)
	return exitOK
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
