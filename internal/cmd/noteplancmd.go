package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type notePlanCmd struct {
	remote
	output
	File string `arg:"positional,required" help:"note in TOML, - for the standard input"`
}

func (c *notePlanCmd) run(sys *system) int {
	text, err := readNoteFile(c.File)
	if err != nil {
		return sys.fail(err)
	}
	plan, err := ask(c.remote, func(ctx context.Context, client *laburnumridge.Client) (laburnumridge.Plan, error) {
		return client.Plan(ctx, text)
	})
	if err != nil {
		return sys.fail(err)
	}
	if c.JSON {
		sys.printJSON(plan)
	} else {
		printPlan(sys, plan)
	}
	// A note with conflicts would be refused, so scripts can stop here.
	if len(plan.Conflicts) > 0 {
		return exitRefused
	}
	return exitDone
}

func printPlan(sys *system, plan laburnumridge.Plan) {
	fmt.Fprintf(sys.stdout, "note %s against revision %d\n", plan.Note, plan.Revision)
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
			rows = append(rows, []string{group.action, item.Kind, item.Name, changes(group.action, item.Changes)})
		}
	}
	for _, x := range plan.Conflicts {
		rows = append(rows, []string{"conflict", "", x.Item, fmt.Sprintf("note %s: %s", x.Note, x.Reason)})
	}
	for _, u := range plan.Unfit {
		rows = append(rows, []string{"waits", orDash(u.Zone), u.Item, u.Reason})
	}
	sys.printRows(rows)
	fmt.Fprintf(sys.stdout, "%d other items are not touched\n", len(plan.Untouched))
}

// changes returns the changed fields; for an added item only the new values.
func changes(action string, list []laburnumridge.FieldChange) string {
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
