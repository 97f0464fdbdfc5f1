package host

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/admission"
	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/invariant"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/settings"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// incarnationSuffixLength is the length of the random suffix of a host's incarnation, which tells a restarted host from
// its earlier process. It is kept short because each grant carries it; with eight base-32 letters, two processes of a
// host have the same incarnation with a probability of about 1 in 10^12.
const incarnationSuffixLength = 8

// maxStartDelay is the longest random delay after a start, so that hosts that start together do not contend for
// shards at the same time.
const maxStartDelay = 2 * time.Second

// Host is the daemon of an entry host.
type Host struct {
	admission      *admissionQueue
	backends       *backends
	invariants     *invariant.Checker
	draining       atomic.Bool
	drainStarted   chan struct{}
	openFeeds      atomic.Int64
	inFlight       atomic.Int64 // requests being answered
	forwardClient  *http.Client
	hosts          *hostList
	id             string
	jobs           *jobs
	keyTables      *keyTableSet
	limiter        *kvstore.Limiter
	listening      chan struct{} // closed once the host listens
	log            *logrus.Entry
	mesh           *peer.Mesh
	notes          *notes
	onViolation    func(name, detail string)
	ownerCtx       context.Context
	ownerStop      context.CancelFunc
	peerScheme     string
	peers          *peerStates
	policies       *policies
	quickStart     bool
	clients        *clientmemory.Limits
	decisions      *explain.Ring
	incarnation    string
	session        *session
	settings       settings.Settings
	shards         *shards
	store          kvstore.Store
	tls            tlsConfigs
	workers        *worker.Client
	zone           string
	zoneEmptySince map[string]time.Time
}

// Option sets a property of a Host.
type Option func(*Host)

// WithViolationHandler makes the host call f on each invariant violation, so that tests can fail.
func WithViolationHandler(f func(name, detail string)) Option {
	return func(h *Host) { h.onViolation = f }
}

// WithLog sets the log.
func WithLog(log *logrus.Logger) Option {
	return func(h *Host) { h.log = logrus.NewEntry(log).WithField("host", h.id) }
}

// WithQuickStart makes the host contend for shards without the random delay after a start.
func WithQuickStart() Option { return func(h *Host) { h.quickStart = true } }

// New returns a host that is not started. Its errors name the credentials that could not be read.
func New(s settings.Settings, opts ...Option) (*Host, error) {
	h := &Host{
		drainStarted:   make(chan struct{}),
		id:             s.Host,
		keyTables:      newKeyTableSet(),
		listening:      make(chan struct{}),
		limiter:        kvstore.NewLimiter(s.Platform.ReadsPerSecond, s.Platform.WritesPerSecond),
		log:            logrus.NewEntry(logrus.StandardLogger()).WithField("host", s.Host),
		onViolation:    func(string, string) {},
		peerScheme:     "http://",
		incarnation:    s.Host + "#" + rand.Text()[:incarnationSuffixLength],
		settings:       s,
		store:          kvstore.NewEtcd(s.Platform.Endpoints, s.Platform.Timeout.Duration),
		zone:           s.Zone,
		zoneEmptySince: map[string]time.Time{},
	}
	for _, o := range opts {
		o(h)
	}
	var err error
	if h.tls, err = loadTLS(s.Security); err != nil {
		return nil, err
	}
	h.wire()
	return h, nil
}

// wire creates the components and connects them.
func (h *Host) wire() {
	h.ownerCtx, h.ownerStop = context.WithCancel(context.Background())
	h.invariants = invariant.New(h.log, invariant.WithViolationHandler(h.onViolation))
	h.decisions = explain.New(h.id, h.log)
	h.clients = clientmemory.NewLimits(clientmemory.MachineMemory(h.settings.Limits.MemoryMB), h.log)
	h.session = &session{host: h.id, incarnation: h.incarnation, log: h.log, store: h.storeFor(kvstore.ClassOwnership)}
	h.peers = newPeerStates()
	h.hosts = &hostList{onChange: func(fleet.Snapshot) { h.refreshPeers() }, log: h.log, store: h.storeFor(kvstore.ClassReads)}
	h.notes = &notes{
		onApplied: h.applyCatalogue, invariants: h.invariants, log: h.log, decisions: h.decisions,
		store: h.storeFor(kvstore.ClassNotes),
	}
	h.jobs = newJobs(h.storeFor(kvstore.ClassLedger), h.log)
	h.shards = newShards(h)
	h.backends = newBackends(h, h.incarnation, time.Now())
	h.policies = newPolicies(h)
	h.admission = newAdmissionQueue(admission.NewQueue(0))
	workerOptions := []worker.Option{}
	if h.tls.worker != nil {
		workerOptions = append(workerOptions, worker.WithTLS(h.tls.worker))
	}
	h.workers = worker.NewClient(workerOptions...)
	if h.tls.peerClient != nil {
		h.peerScheme = "https://"
	}
	h.forwardClient = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DisableCompression:  true,
			IdleConnTimeout:     30 * time.Second,
			MaxIdleConnsPerHost: 64,
			TLSClientConfig:     h.tls.peerClient,
		},
	}
	self := peer.Hello{Host: h.id, PeerAddress: h.settings.Listen.Peer, Incarnation: h.incarnation, Zone: h.zone}
	h.mesh = peer.NewMesh(self, h.log,
		peer.WithBudget(h.clients.PeerBytes),
		peer.WithHeartbeat(h.heartbeat),
		peer.WithMessages(h.handlePeerMessage),
		peer.WithRequests(h.handlePeerRequest),
		peer.WithTLS(cloneTLS(h.tls.peerClient)),
	)
}

// Invariants returns the number of invariant checks and of violations.
func (h *Host) Invariants() (checked, violated int64) {
	return h.invariants.Checked(), h.invariants.Violations()
}

// Listening returns a channel that is closed once the host listens on all its addresses.
func (h *Host) Listening() <-chan struct{} { return h.listening }

// OwnedShards returns the number of shards that the host owns.
func (h *Host) OwnedShards() int { return len(h.shards.all()) }

// Run serves until ctx ends, then drains: it fails the readiness check, finishes the requests in flight, hands its
// shards over and returns. Its errors name the address that could not be used.
func (h *Host) Run(ctx context.Context) error {
	servers, err := h.listen()
	if err != nil {
		return err
	}
	close(h.listening)
	h.warnAboutMissingSecurity()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){
		h.session.run, h.hosts.run, h.notes.run, h.jobs.run, h.mesh.Run, h.shards.run, h.runSchedule, h.runAdmission,
		h.backends.run,
	} {
		loops.Go(func() { loop(work) })
	}
	h.log.WithFields(logrus.Fields{"zone": h.zone, "caller": h.settings.Listen.Caller}).Info("entry host is listening")
	select {
	case <-ctx.Done():
	case err = <-servers.Failed():
	}
	h.drain(servers)
	stop()
	h.ownerStop()
	loops.Wait()
	h.workers.Close()
	return err
}

// applyCatalogue updates the admission shares and the routing state for a new catalogue.
func (h *Host) applyCatalogue(c note.Catalogue) {
	services, teams := guaranteedShares(c, h.hosts.snapshot(), h.zone)
	h.admission.deliver(h.admission.queue.SetShares(time.Now(), services, teams))
	h.policies.retain(c)
}

func (h *Host) isDraining() bool { return h.draining.Load() }

func (h *Host) ownerContext() context.Context { return h.ownerCtx }

func (h *Host) shardCount(zone string) int { return h.shards.shardCount(zone) }

func (h *Host) startDelay() time.Duration {
	if h.quickStart {
		return 0
	}
	return jitter(maxStartDelay)
}

func (h *Host) storeFor(c kvstore.Class) kvstore.Store {
	return kvstore.Limited(h.store, h.limiter, c)
}

func (h *Host) verifiedRenewal(id fleet.ShardID, epoch int64) time.Time {
	return h.shards.verifiedRenewal(id, epoch)
}

func cloneTLS(c *tls.Config) *tls.Config {
	if c == nil {
		return nil
	}
	return c.Clone()
}
