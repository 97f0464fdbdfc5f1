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

// logTimeFormat shows milliseconds, since most decisions of a takeover fall into the same second.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// logFlushTimeout bounds the wait for whoever reads the log when the process ends.
const logFlushTimeout = 200 * time.Millisecond

var errDemoTooShort = errors.New("--duration must be at least 1s")

type serveCmd struct {
	Config string `arg:"--config,required" help:"settings file in TOML"`
}

// checkSettingsOnSIGHUP reads the settings again at each SIGHUP. Settings take effect at the next start, so a change that can't be
// read is reported before that.
func (c *serveCmd) checkSettingsOnSIGHUP(log *logrus.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			entry := log.WithFields(logrus.Fields{"decision": "reload", "file": c.Config})
			if _, err := settings.Load(c.Config); err != nil {
				entry.WithError(err).Error("settings can't be read; the ones in force stay")
				continue
			}
			entry.Info("settings are valid; changes take effect at the next start")
		}
	}()
}

// run serves until SIGTERM or SIGINT, then drains.
func (c *serveCmd) run(streams *ioStreams) int {
	s, err := settings.Load(c.Config)
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
