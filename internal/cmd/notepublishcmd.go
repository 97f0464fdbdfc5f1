package cmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type notePublishCmd struct {
	clientOptions
	outputOptions
	File string `arg:"positional,required" help:"note in TOML, - for the standard input"`
}

func (c *notePublishCmd) run(streams *ioStreams) int {
	return publishNote(streams, c.clientOptions, c.outputOptions, c.File, (*laburnumridge.Client).Publish)
}

// publishNote sends the note in a file to an entry host and prints the revision at which it was accepted.
func publishNote(
	streams *ioStreams, options clientOptions, output outputOptions, file string,
	send func(*laburnumridge.Client, context.Context, []byte) (laburnumridge.PublishedNote, error),
) int {
	text, err := readNoteFile(file)
	if err != nil {
		return streams.fail(err)
	}
	p, err := callEntryHost(options, func(ctx context.Context, client *laburnumridge.Client) (laburnumridge.PublishedNote, error) {
		return send(client, ctx, text)
	})
	if err != nil {
		code := streams.fail(err)
		if errors.Is(err, laburnumridge.ErrUnknown) {
			fmt.Fprintln(streams.stderr, "the note may be published; repeating the command with the same note is safe")
		}
		return code
	}
	if output.JSON {
		return streams.printJSON(p)
	}
	fmt.Fprintf(streams.stdout, "note %s accepted at revision %d\n", p.ID, p.Revision)
	return exitOK
}
