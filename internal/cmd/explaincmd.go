package cmd

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

type explainCmd struct {
	clientOptions
	outputOptions
	ID string `arg:"positional,required" help:"task, job, request, note, work or worker"`
}

func (c *explainCmd) run(streams *ioStreams) int {
	e, err := callEntryHost(c.clientOptions, func(ctx context.Context, client *laburnumridge.Client) (laburnumridge.Explanation, error) {
		return client.Explain(ctx, c.ID)
	})
	switch {
	case err != nil:
		return streams.fail(err)
	case c.JSON:
		return streams.printJSON(e)
	}
	var rows [][]string
	for _, d := range e.Decisions {
		attempt := "-"
		if d.Attempt > 0 {
			attempt = strconv.Itoa(d.Attempt)
		}
		reason := d.Reason
		if len(d.Options) > 0 {
			reason += " (options: " + strings.Join(d.Options, "; ") + ")"
		}
		rows = append(rows, []string{
			d.At.UTC().Format(timeFormat), orDash(d.Host), d.Decision, orDash(d.Task), attempt, orDash(d.Worker), reason,
		})
	}
	streams.printTable("TIME HOST DECISION TASK ATTEMPT WORKER REASON", rows)
	if len(rows) == 0 {
		fmt.Fprintf(streams.stdout, "no decision about %s is kept\n", c.ID)
	}
	if len(e.Unreachable) > 0 {
		fmt.Fprintln(streams.stdout, "could not be asked:", strings.Join(e.Unreachable, ", "))
	}
	return exitOK
}
