package entry

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/laburnumridge/laburnumridge/internal/listener"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

const (
	// drainMarkTimeout is how long the handovers of a drain wait for the mark on the host's record: 25 times the store's usual latency. Hosts
	// that have not seen the mark wait for this one's turn before they claim its shards.
	drainMarkTimeout = 100 * time.Millisecond
	idleTimeout      = 60 * time.Second
	// drainServePeriod is how long a draining host keeps serving. The load balancer sends new connections elsewhere after
	// two failed health checks, a second apart.
	drainServePeriod = 2500 * time.Millisecond
	// drainTimeout bounds the drain, so that the process exits before the platform kills it.
	drainTimeout = 5 * time.Second
)

func (h *Host) listen() (*listener.Group, error) {
	ready := echo.New()
	ready.HideBanner, ready.HidePort = true, true
	ready.GET(h.settings.Listen.ReadyPath, h.ready)
	peers := http.NewServeMux()
	peers.Handle("/peer", h.pool)
	debug := http.NewServeMux()
	debug.Handle("/debug/vars", expvar.Handler())
	g := listener.NewGroup(listener.Limits{
		HeaderBytes: h.settings.Limits.MaxHeaderBytes, HeaderTimeout: h.settings.Limits.ReadTimeout.Duration, IdleTimeout: idleTimeout,
	})
	c := h.clients
	for _, l := range []listener.Server{
		{
			Address: h.settings.Listen.Peer, Connections: c.Peers.Connections, Handler: peers, HeaderBytes: c.PeerBytes, LongMessages: true,
		},
		{Address: h.settings.Listen.Debug, Connections: c.Operators.Connections, Handler: debug, HeaderBytes: c.OperatorBytes},
		{Address: h.settings.Listen.Ready, Connections: c.Operators.Connections, Handler: ready, HeaderBytes: c.OperatorBytes},
		{
			Address: h.settings.Listen.Caller, Connections: c.Callers.Connections, Handler: h.platform.Handler(h.service()),
			HeaderBytes: c.CallerBytes,
		},
	} {
		l.Connections, l.Report = min(l.Connections, h.settings.Limits.MaxConnections), c.Report
		if err := g.Open(l); err != nil {
			return nil, err
		}
	}
	return g, nil
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

// drain hands over the shards, keeps serving until the load balancer has noticed, and finishes the requests in flight.
func (h *Host) drain(runCtx context.Context, g *listener.Group) {
	h.log.WithField("decision", "drain").Info("draining entry host")
	h.draining.Store(true)
	ctx, cancel := context.WithTimeout(runCtx, drainTimeout)
	defer cancel()
	h.giveUpShards(ctx)
	serveFor(ctx, drainServePeriod)
	if err := g.ShutdownLast(ctx); err != nil {
		h.log.WithError(err).Warn("drain timeout cut off requests in flight")
	}
	h.session.revoke(ctx)
	g.Close()
	h.pool.Close()
}

// giveUpShards marks the host's record as draining and hands all shards over. With a store that stands still for a second, the host's lease
// would end before a handover that waits for the mark.
func (h *Host) giveUpShards(ctx context.Context) {
	isMarked := make(chan struct{})
	go func() {
		defer close(isMarked)
		h.session.markDraining(ctx)
	}()
	select {
	case <-isMarked:
	case <-time.After(drainMarkTimeout):
	}
	h.ownedShards.handOverAll(ctx)
	<-isMarked
}

// serveFor waits for a period, and then until timeoutTicks timers in a row fire on time. When a process runs again after a pause, its
// expired timers fire before it reads the requests that have arrived meanwhile, and a server that is shut down then closes their
// connections.
func serveFor(ctx context.Context, period time.Duration) {
	retry.Sleep(ctx, period)
	for onTime := 0; onTime < timeoutTicks && ctx.Err() == nil; {
		began := time.Now()
		retry.Sleep(ctx, timeoutTick)
		onTime++
		if time.Since(began) >= 2*timeoutTick {
			onTime = 0
		}
	}
}
