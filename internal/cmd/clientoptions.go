package cmd

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/settings"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// clientOptions holds the options of commands that call an entry host.
type clientOptions struct {
	CA      string        `arg:"--ca,env:LABURNUMRIDGE_CA" help:"PEM file of the authority that signed the entry hosts' certificates" placeholder:"FILE"`
	Cert    string        `arg:"--cert,env:LABURNUMRIDGE_CERT" help:"PEM file of the certificate to present" placeholder:"FILE"`
	Key     string        `arg:"--key,env:LABURNUMRIDGE_KEY" help:"PEM file of the certificate's key" placeholder:"FILE"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"time after which the command gives up"`
	Token   string        `arg:"--token,env:LABURNUMRIDGE_TOKEN" help:"bearer token of the operators' interface"`
	URL     []string      `arg:"--url,separate" help:"base URL of an entry host; repeat it for hosts to be tried in turn [default: http://127.0.0.1:8400, env: LABURNUMRIDGE_URL, separated by commas]" placeholder:"URL"`
}

// outputOptions holds the options of commands that print a response.
type outputOptions struct {
	JSON bool `arg:"--json" help:"print JSON"`
}

// callEntryHost creates a client from the options and makes a call within the timeout.
func callEntryHost[T any](options clientOptions, call func(context.Context, *laburnumridge.Client) (T, error)) (T, error) {
	var zero T
	tlsConfig, err := settings.TLS{Certificate: options.Cert, ClientCA: options.CA, Key: options.Key}.ClientConfig()
	if err != nil {
		return zero, err
	}
	opts := []laburnumridge.Option{laburnumridge.WithToken(options.Token)}
	if tlsConfig != nil {
		opts = append(opts, laburnumridge.WithTLS(tlsConfig))
	}
	if urls := options.urls(); len(urls) > 0 {
		opts = append(opts, laburnumridge.WithURLs(urls...))
	}
	client, err := laburnumridge.New(opts...)
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), options.Timeout)
	defer cancel()
	return call(ctx, client)
}

// urls returns the URLs given by --url or, if there are none, by LABURNUMRIDGE_URL. The variable is not read by go-arg,
// which would join both lists.
func (o clientOptions) urls() []string {
	if env := os.Getenv("LABURNUMRIDGE_URL"); len(o.URL) == 0 && env != "" {
		return strings.Split(env, ",")
	}
	return o.URL
}

// readNoteFile reads the text of a note from a file, or from standard input if name is "-".
func readNoteFile(name string) ([]byte, error) {
	in := os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "reading the note")
		}
		defer f.Close()
		in = f
	}
	// Reads one byte more than the limit, so that the entry host rejects a note that is too long instead of
	// accepting a truncated one.
	text, err := io.ReadAll(io.LimitReader(in, note.MaxNoteBytes+1))
	return text, eris.Wrap(err, "reading the note")
}
