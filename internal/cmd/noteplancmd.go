package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type notePlanCmd struct {
	clientOptions
	outputOptions
	File string `arg:"positional,required" help:"note in TOML, - for the standard input"`
}

func (c *notePlanCmd) run(streams *ioStreams) int {
	text, err := readNoteFile(c.File)
	if err != nil {
		return streams.fail(err)
	}
	plan, err := callEntryHost(c.clientOptions, func(ctx context.Context, client *laburnumridge.Client) (laburnumridge.Plan, error) {
		return client.Plan(ctx, text)
	})
	if err != nil {
		return streams.fail(err)
	}
	if c.JSON {
		streams.printJSON(plan)
	} else {
		printPlan(streams, plan)
	}
	// The exit code tells scripts that the note would be rejected because of its conflicts.
	if len(plan.Conflicts) > 0 {
		return exitFailure
	}
	return exitOK
}

func printPlan(streams *ioStreams, plan laburnumridge.Plan) {
	fmt.Fprintf(streams.stdout, "note %s against revision %d\n", plan.Note, plan.Revision)
	var rows [][]string
	for _, group := range []struct {
		action string
		items  []laburnumridge.PlanItem
	}{
		{"add", plan.Added},
		{"change", plan.Changed},
		{"withdraw", plan.Withdrawn},
	} {
		for _, item := range group.items {
			rows = append(rows, []string{group.action, item.Kind, item.Name, formatChanges(group.action, item.Changes)})
		}
	}
	for _, conflict := range plan.Conflicts {
		rows = append(rows, []string{"conflict", "", conflict.Item, fmt.Sprintf("note %s: %s", conflict.Note, conflict.Reason)})
	}
	for _, unfit := range plan.Unfit {
		rows = append(rows, []string{"waits", orDash(unfit.Zone), unfit.Item, unfit.Reason})
	}
	streams.printRows(rows)
	fmt.Fprintf(streams.stdout, "%d other items are not touched\n", len(plan.Untouched))
}

// formatChanges formats the changed fields of an item as "field old -> new", or as "field new" if the item is added.
func formatChanges(action string, list []laburnumridge.FieldChange) string {
	var parts []string
	for _, f := range list {
		if action == "add" {
			parts = append(parts, f.Field+" "+f.To)
		} else {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", f.Field, orDash(f.From), orDash(f.To)))
		}
	}
	return strings.Join(parts, ", ")
}
