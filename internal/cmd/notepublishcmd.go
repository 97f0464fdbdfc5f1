package cmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type notePublishCmd struct {
	remote
	output
	File string `arg:"positional,required" help:"note in TOML, - for the standard input"`
}

func (c *notePublishCmd) run(sys *system) int {
	return publish(sys, c.remote, c.output, c.File, (*laburnumridge.Client).Publish)
}

// publish sends a note and prints the revision at which it was accepted.
func publish(
	sys *system, r remote, o output, file string,
	send func(*laburnumridge.Client, context.Context, []byte) (laburnumridge.PublishedNote, error),
) int {
	text, err := readNoteFile(file)
	if err != nil {
		return sys.fail(err)
	}
	p, err := ask(r, func(ctx context.Context, client *laburnumridge.Client) (laburnumridge.PublishedNote, error) {
		return send(client, ctx, text)
	})
	if err != nil {
		code := sys.fail(err)
		if errors.Is(err, laburnumridge.ErrUnknown) {
			fmt.Fprintln(sys.stderr, "the note may be published; repeating the command with the same note is safe")
		}
		return code
	}
	if o.JSON {
		return sys.printJSON(p)
	}
	fmt.Fprintf(sys.stdout, "note %s accepted at revision %d\n", p.ID, p.Revision)
	return exitDone
}
