package entry

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
)

const (
	idleTimeout = 60 * time.Second
	// drainLinger is how long a draining host goes on serving: the balancer takes two missed checks, a second apart,
	// to send new connections elsewhere.
	drainLinger = 2500 * time.Millisecond
	// drainTimeout leaves time to exit before the platform kills the process.
	drainTimeout = 5 * time.Second
)

type servers struct {
	all    []*http.Server
	failed chan error
}

func (h *Host) listen() (*servers, error) {
	s := &servers{failed: make(chan error, 4)}
	ready := echo.New()
	ready.HideBanner, ready.HidePort = true, true
	ready.GET(h.settings.Listen.ReadyPath, h.ready)
	peers := http.NewServeMux()
	peers.Handle("/peer", h.pool)
	debug := http.NewServeMux()
	debug.Handle("/debug/vars", expvar.Handler())
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{h.settings.Listen.Peer, peers},
		{h.settings.Listen.Debug, debug},
		{h.settings.Listen.Ready, ready},
		{h.settings.Listen.Caller, h.platform.Handler(h.service())},
	} {
		if err := h.serve(s, l.address, l.handler); err != nil {
			for _, server := range s.all {
				_ = server.Close()
			}
			return nil, err
		}
	}
	return s, nil
}

func (h *Host) serve(s *servers, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listening")
	}
	server := &http.Server{
		Handler:           handler,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    h.settings.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: h.settings.Limits.ReadTimeout.Duration,
	}
	s.all = append(s.all, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.failed <- eris.Wrapf(err, "serving %s", address)
		}
	}()
	return nil
}

func (h *Host) ready(c echo.Context) error {
	switch {
	case h.draining.Load():
		return c.String(http.StatusServiceUnavailable, "draining\n")
	case h.config.current.Load() == nil:
		return c.String(http.StatusServiceUnavailable, "no config is in force yet\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// drain hands the shards over, lets the balancer see that the host leaves, and ends what is in flight.
func (h *Host) drain(work context.Context, s *servers) {
	h.log.WithField("decision", "drain").Info("entry host drains")
	h.draining.Store(true)
	ctx, cancel := context.WithTimeout(work, drainTimeout)
	defer cancel()
	h.session.drain(ctx)
	h.owners.handOver(ctx)
	sleep(ctx, drainLinger)
	if err := s.all[len(s.all)-1].Shutdown(ctx); err != nil {
		h.log.WithError(err).Warn("requests were cut off by the drain timeout")
	}
	h.session.end(ctx)
	for _, server := range s.all {
		_ = server.Close()
	}
	h.pool.Close()
}
