package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/settings"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Host is the daemon of an entry host.
type Host struct {
	config    *configSource
	directory *directory
	draining  atomic.Bool
	known     *placements
	loads     *loadCache
	log       *logrus.Entry
	now       func() time.Time
	owners    *owners
	pending   *pendingCache
	platform  Platform
	pool      *peer.Pool
	self      hostRecord
	session   *session
	settings  settings.Settings
	// started is when the host was made.
	started time.Time
}

// New returns a host that runs on the platform.
func New(s settings.Settings, p Platform, log *logrus.Logger) *Host {
	entry := log.WithField("host", s.Host)
	h := &Host{
		directory: newDirectory(entry),
		known:     newPlacements(),
		loads:     &loadCache{loads: map[loadKey]agedLoad{}},
		log:       entry,
		now:       BootTime,
		pending:   newPendingCache(),
		platform:  p,
		self: hostRecord{
			Host: s.Host, Peer: s.Listen.Peer, Run: fmt.Sprintf("%s#%016x", s.Host, rand.Uint64()), Strength: s.Platform.Strength,
			Zone: s.Zone,
		},
		settings: s,
		started:  time.Now(),
	}
	h.pool = peer.NewPool(entry, h.answerPeer)
	h.owners = newOwners(h)
	h.config = &configSource{decode: p.DecodeConfig, key: p.ConfigKey, log: entry, onChange: h.owners.configChanged}
	h.session = &session{
		log: entry, now: h.now, onLease: func(int64) { h.owners.wakeElection() }, record: h.self, store: p.Store,
		wake: make(chan struct{}, 1),
	}
	return h
}

// Run serves until ctx ends, then drains.
func (h *Host) Run(ctx context.Context) error {
	started := time.Now()
	servers, err := h.listen()
	if err != nil {
		return err
	}
	h.log.WithFields(logrus.Fields{
		"decision": "start", "zone": h.self.Zone, "peer": h.self.Peer, "caller": h.settings.Listen.Caller, "run": h.self.Run,
	}).Info("entry host starts")
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	for _, f := range []func(context.Context){
		h.session.run,
		func(ctx context.Context) { h.directory.run(ctx, h.platform.Store) },
		func(ctx context.Context) { h.config.run(ctx, h.platform.Store) },
		h.askPeers,
		h.owners.elect,
	} {
		running.Go(func() { f(work) })
	}
	select {
	case err = <-servers.Failed():
		return err
	case <-ctx.Done():
	}
	h.drain(work, servers)
	stop()
	running.Wait()
	h.log.WithFields(logrus.Fields{"decision": "stop", "uptime": time.Since(started).String()}).Info("entry host stops")
	return nil
}

func (h *Host) random(n int) int { return rand.IntN(n) }

func (h *Host) service() Service {
	return Service{
		Cancel: h.Cancel, Config: func() workflow.Config { return h.config.config() }, IsDraining: h.draining.Load,
		Pending: h.Pending, State: h.State, Submit: h.Submit,
	}
}
