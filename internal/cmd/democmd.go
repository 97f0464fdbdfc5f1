package cmd

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/demo"
)

type demoCmd struct {
	Duration time.Duration `arg:"--duration" default:"15s" help:"how long callers send requests"`
	User     string        `arg:"--user" default:"kelaniya" help:"kelaniya or retablo"`
	Verbose  bool          `arg:"--verbose,-v" help:"log every decision"`
}

func (c *demoCmd) run(streams *ioStreams) int {
	user, err := demo.UserByName(c.User)
	if err != nil {
		return streams.failUsage(err)
	}
	if c.Duration < time.Second {
		return streams.failUsage(errDemoTooShort)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log := logrus.New()
	log.SetOutput(streams.stderr)
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: logTimeFormat})
	log.SetLevel(logrus.ErrorLevel)
	if c.Verbose {
		log.SetLevel(logrus.InfoLevel)
	}
	report, err := demo.Run(ctx, user, c.Duration, log)
	if err != nil {
		return streams.fail(err)
	}
	report.Print(streams.stdout, user)
	if len(report.Violations) > 0 || report.TasksDone < report.TasksSubmitted {
		return exitFailure
	}
	return exitOK
}
