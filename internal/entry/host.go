package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/settings"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Host is the daemon of an entry host.
type Host struct {
	clients     *clientmemory.Limits
	commitRelay commitRelay
	config      *configSource
	directory   *directory
	draining    atomic.Bool
	layoutWait  layoutWait
	locations   *locationCache
	loads       *loadCache
	log         *logrus.Entry
	now         func() time.Time
	ownedShards *ownedShards
	pending     *pendingCache
	platform    Platform
	pool        *peer.Pool
	// retrySlots spreads the callers that are refused.
	retrySlots retrySlots
	// request sends a message to a peer and returns its reply.
	request  func(ctx context.Context, address string, m peer.Message) (peer.Message, error)
	self     hostRecord
	session  *session
	settings settings.Settings
	// suitabilities caches which shards can hold which jobs.
	suitabilities suitabilityCache
	// tombstones bounds the records of cancellations without a job.
	tombstones tombstones
}

// New returns a host that uses the given platform.
func New(s settings.Settings, p Platform, log *logrus.Logger) *Host {
	entry := log.WithField("host", s.Host)
	p.DecodeConfig = safeDecoder(entry, "config", p.DecodeConfig)
	p.DecodeWorker = safeDecoder(entry, "worker_entry", p.DecodeWorker)
	h := &Host{
		clients:     clientmemory.NewLimits(clientmemory.MachineMemory(s.Limits.MemoryMB), entry),
		commitRelay: commitRelay{turn: rand.IntN(1 << 16)},
		directory:   newDirectory(entry, BootTime),
		locations:   newLocationCache(),
		loads:       newLoadCache(),
		log:         entry,
		now:         BootTime,
		pending:     newPendingCache(),
		platform:    p,
		self: hostRecord{
			Host: s.Host, PeerAddress: s.Listen.Peer, Incarnation: fmt.Sprintf("%s#%016x", s.Host, rand.Uint64()),
			KeepsLateStarts: true, ReadsCompact: true, SharesEnds: true, SharesJobs: true, Strength: s.Platform.Strength, Zone: s.Zone,
		},
		settings: s,
	}
	timing := h.timing()
	h.self.LeaseFromOrder, h.self.LeaseFromRenewal = timing.WorkerLease, timing.LeaseFromRenewal
	h.pool = peer.NewPool(entry, h.handlePeerMessage, peer.WithPoolBudget(h.clients.PeerBytes))
	h.request = h.pool.Request
	h.ownedShards = newOwnedShards(h)
	h.config = newConfigSource(p, entry, h.ownedShards)
	h.session = &session{
		log: entry, now: h.now, onLease: func(int64) { h.ownedShards.wakeElection() }, record: h.self, store: p.Store,
	}
	return h
}

// Run serves until ctx ends, then drains and stops the host.
func (h *Host) Run(ctx context.Context) error {
	started := time.Now()
	servers, err := h.listen()
	if err != nil {
		return err
	}
	h.log.WithFields(logrus.Fields{
		"decision": "start", "zone": h.self.Zone, "peer": h.self.PeerAddress, "caller": h.settings.Listen.Caller,
		"run": h.self.Incarnation,
	}).Info("entry host started")
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	var running sync.WaitGroup
	for _, f := range []func(context.Context){
		h.session.run,
		func(ctx context.Context) { h.directory.run(ctx, h.platform.Store) },
		func(ctx context.Context) { h.config.run(ctx, h.platform.Store) },
		h.pollPeersForConfig,
		h.ownedShards.runElection,
	} {
		running.Go(func() { f(runCtx) })
	}
	select {
	case err = <-servers.Failed():
		return err
	case <-ctx.Done():
	}
	h.drain(runCtx, servers)
	cancelRun()
	running.Wait()
	h.log.WithFields(logrus.Fields{"decision": "stop", "uptime": time.Since(started).String()}).Info("entry host stopped")
	return nil
}

func (h *Host) random(n int) int { return rand.IntN(n) }

func (h *Host) service() Service {
	return Service{
		Bodies: h.clients.CallerBytes, Cancel: h.Cancel, Config: func() workflow.Config { return h.config.config() }, IsDraining: h.draining.Load,
		Pending: h.Pending, State: h.State, Submit: h.Submit,
	}
}
