package cmd

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/asynclog"
	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/host"
	"github.com/laburnumridge/laburnumridge/internal/settings"
	"github.com/laburnumridge/laburnumridge/platform"
)

// logTimeFormat includes milliseconds because most decisions during a takeover are made within one second.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// logFlushTimeout limits how long a stopping process waits until its buffered log lines are written.
const logFlushTimeout = 200 * time.Millisecond

var errDemoTooShort = errors.New("--duration must be at least 1s")

type serveCmd struct {
	Config string   `arg:"--config,required" help:"settings file in TOML"`
	Set    []string `arg:"--set,separate" help:"replace a setting of the file, such as limits.memory_mb=284; an empty value changes nothing" placeholder:"KEY=VALUE"`
}

// checkSettingsOnSIGHUP reads and validates the settings file at each SIGHUP and logs the result. Changed settings take
// effect only at the next start, so that an invalid change is reported before it can prevent the start.
func (c *serveCmd) checkSettingsOnSIGHUP(log *logrus.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			entry := log.WithFields(logrus.Fields{"decision": "reload", "file": c.Config})
			if _, err := settings.Load(c.Config, c.Set...); err != nil {
				entry.WithError(err).Error("settings file is invalid; the settings read at start stay in effect")
				continue
			}
			entry.Info("settings file is valid; changes take effect at the next start")
		}
	}()
}

// run runs an entry host until SIGTERM or SIGINT, then drains it.
func (c *serveCmd) run(streams *ioStreams) int {
	s, err := settings.Load(c.Config, c.Set...)
	if err != nil {
		return streams.fail(err)
	}
	logWriter := asynclog.New(streams.stdout)
	defer logWriter.Close(logFlushTimeout)
	log, err := newLog(s.Log, logWriter)
	if err != nil {
		return streams.fail(err)
	}
	c.checkSettingsOnSIGHUP(log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if s.Platform.Protocol == settings.ProtocolJSON {
		p, err := platform.New(s)
		if err != nil {
			return streams.fail(err)
		}
		if err := entry.New(s, p, log).Run(ctx); err != nil {
			return streams.fail(err)
		}
		return exitOK
	}
	h, err := host.New(s, host.WithLog(log))
	if err != nil {
		return streams.fail(err)
	}
	if err := h.Run(ctx); err != nil {
		return streams.fail(err)
	}
	return exitOK
}

func newLog(s settings.Log, out io.Writer) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(out)
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return nil, err
	}
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: logTimeFormat})
	if s.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTimeFormat})
	}
	return log, nil
}
