package cmd

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"strings"

	"github.com/alexflint/go-arg"
)

// Exit codes of all commands.
const (
	exitOK      = 0
	exitFailure = 1 // the request was refused or failed
	exitUsage   = 2 // the arguments are invalid
)

const program = "laburnumridge"

// args defines the command line for go-arg. The struct of each command without subcommands implements runner.
type args struct {
	Config  *configCmd  `arg:"subcommand:config" help:"check settings or print an example"`
	Demo    *demoCmd    `arg:"subcommand:demo" help:"run a small fleet in this process and report on it"`
	Dev     *devCmd     `arg:"subcommand:dev" help:"run a small fleet in this process until SIGINT, to try the other commands"`
	Explain *explainCmd `arg:"subcommand:explain" help:"show the decisions that concern an id"`
	InForce *inForceCmd `arg:"subcommand:in-force" help:"show the revision in force on each entry host"`
	Job     *jobCmd     `arg:"subcommand:job" help:"submit, show or cancel a job"`
	Measure *measureCmd `arg:"subcommand:measure" help:"measure the decision code on a virtual clock"`
	Note    *noteCmd    `arg:"subcommand:note" help:"plan, publish, amend, show or list release notes"`
	Serve   *serveCmd   `arg:"subcommand:serve" help:"run the daemon of an entry host"`
	Status  *statusCmd  `arg:"subcommand:status" help:"show zones, shards, work and workers"`
}

// runner is implemented by commands that have no subcommands.
type runner interface {
	run(streams *ioStreams) int
}

// Description is shown by --help.
func (args) Description() string {
	return "laburnumridge schedules latency-critical services and batch work on the same workers"
}

// Version is shown by --version.
func (args) Version() string {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	return program + " " + version
}

// Main runs the command selected by argv and returns its exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: program, Out: stderr}, &a)
	if err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return exitUsage
	}
	err = p.Parse(argv)
	names := p.SubcommandNames()
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(stdout, names...)
		return exitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(stdout, a.Version())
		return exitOK
	case err == nil:
		if r, ok := p.Subcommand().(runner); ok {
			return r.run(&ioStreams{stdout: stdout, stderr: stderr})
		}
		err = errors.New("a command is missing")
	}
	_ = p.WriteUsageForSubcommand(stderr, names...)
	help := strings.Join(append([]string{program}, names...), " ")
	fmt.Fprintf(stderr, "error: %s\nrun %q for the commands and options\n", err, help+" --help")
	return exitUsage
}
