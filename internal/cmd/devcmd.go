package cmd

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/demo"
	"github.com/laburnumridge/laburnumridge/internal/settings"
)

type devCmd struct {
	User    string `arg:"--user" default:"kelaniya" help:"kelaniya or retablo"`
	Verbose bool   `arg:"--verbose,-v" help:"log every decision"`
}

// run runs an in-process fleet on a fake platform until SIGINT or SIGTERM.
func (c *devCmd) run(streams *ioStreams) int {
	user, err := demo.UserByName(c.User)
	if err != nil {
		return streams.failUsage(err)
	}
	level := "error"
	if c.Verbose {
		level = "info"
	}
	log, err := newLog(settings.Log{Format: "text", Level: level}, streams.stderr)
	if err != nil {
		return streams.fail(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := runDevFleet(ctx, streams, user, log); err != nil {
		return streams.fail(err)
	}
	return exitOK
}

func runDevFleet(ctx context.Context, streams *ioStreams, user demo.User, log *logrus.Logger) error {
	fmt.Fprintf(streams.stdout, "starting the fleet of %s\n", user.Name)
	return demo.Serve(ctx, user, log, func(urls []string) { printExamples(streams.stdout, user, urls) })
}

// printExamples prints one example of each command that calls an entry host, ready to be pasted into a shell.
func printExamples(w io.Writer, user demo.User, urls []string) {
	const team = `printf 'id = "dev-%d"\n[[%s]]\nkind = "team"\nname = "dev"\nquota = { slots = %d }\n'`
	add, change := fmt.Sprintf(team, 1, "added", 8), fmt.Sprintf(team, 2, "changed", 16)
	fmt.Fprintf(w, "entry hosts: %s\n\n", strings.Join(urls, " "))
	for _, line := range []string{
		"export LABURNUMRIDGE_URL=" + strings.Join(urls, ","),
		"go run . status --workers",
		"go run . in-force --work " + user.Services[0],
		"go run . note list",
		add + " | go run . note plan -",
		add + " | go run . note publish -",
		change + " | go run . note amend dev-1 -",
		"go run . note show dev-1",
		"go run . job submit " + user.Batch + " --id dev-job-1 --tasks 4",
		"go run . job status dev-job-1",
		"go run . job cancel dev-job-1",
		"go run . explain dev-job-1",
		"curl -si -d hello " + urls[0] + "/" + user.Services[0] + "/some/path",
	} {
		fmt.Fprintln(w, line)
	}
	fmt.Fprintln(w, "\nthe fleet runs until SIGINT (Ctrl-C)")
}
