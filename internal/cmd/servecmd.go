package cmd

import (
	"context"
	"errors"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/host"
	"github.com/laburnumridge/laburnumridge/internal/settings"
)

// timestamps shows milliseconds, since most decisions of a takeover fall into the same second.
const timestamps = "2006-01-02T15:04:05.000Z07:00"

var errShortDemo = errors.New("--duration must be at least 1s")

type serveCmd struct {
	Config string `arg:"--config,required" help:"settings file in TOML"`
}

// run serves until SIGTERM or SIGINT, then drains.
func (c *serveCmd) run(sys *system) int {
	s, err := settings.Load(c.Config)
	if err != nil {
		return sys.fail(err)
	}
	log, err := newLog(s.Log, sys)
	if err != nil {
		return sys.fail(err)
	}
	h, err := host.New(s, host.WithLog(log))
	if err != nil {
		return sys.fail(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := h.Run(ctx); err != nil {
		return sys.fail(err)
	}
	return exitDone
}

func newLog(s settings.Log, sys *system) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(sys.stderr)
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return nil, err
	}
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: timestamps})
	if s.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestamps})
	}
	return log, nil
}
