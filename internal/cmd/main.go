package cmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit codes of every command.
const (
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
)

type args struct {
	Config *configCmd `arg:"subcommand:config" help:"check settings or print an example"`
}

// Description is shown by --help.
func (args) Description() string {
	return "laburnumridge schedules latency-critical services and batch work on the same workers"
}

// Main runs the command that the arguments name and returns its exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "laburnumridge", Out: stderr}, &a)
	if err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return exitUsage
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return exitDone
	case err != nil:
		fmt.Fprintln(stderr, "error:", err)
		return exitUsage
	}
	sys := &system{stdout: stdout, stderr: stderr}
	switch {
	case a.Config != nil:
		return a.Config.run(sys)
	}
	p.WriteHelp(stderr)
	return exitUsage
}
