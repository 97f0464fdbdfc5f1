package peer

import (
	"context"
	"crypto/tls"
	"expvar"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Timeouts and limits of peer connections. Heartbeats across zones are less frequent, because those links have a higher
// latency and cost.
const (
	heartbeatIntervalInZone      = time.Second
	heartbeatIntervalAcrossZones = 3 * time.Second
	maxMissedHeartbeats          = 3
	dialTimeout                  = 2 * time.Second
	writeTimeout                 = 2 * time.Second
	helloTimeout                 = 2 * time.Second
	minRedialDelay               = 200 * time.Millisecond
	maxRedialDelay               = 3 * time.Second
	maxMessageBytes              = 4 << 20
	maxQueuedFrames              = 256
)

// Errors of a Mesh.
var (
	// ErrNotConnected is returned if there is no connection to the host, or if it ended before the reply.
	ErrNotConnected = eris.New("no connection to the entry host")
	// ErrRefused is returned if the host replied with Message.RefusedReason.
	ErrRefused = eris.New("refused by the entry host")
)

var (
	bytesIn           = expvar.NewInt("peer_bytes_in")
	bytesOut          = expvar.NewInt("peer_bytes_out")
	requestPanics     = expvar.NewInt("peer_request_panics")
	silentConnsClosed = expvar.NewInt("peer_silent_connections_closed")
)

// Mesh keeps a persistent connection to each configured entry host and exchanges messages over them.
type Mesh struct {
	budget    *clientmemory.Budget
	conns     map[string]*conn
	dialing   map[string]bool
	heartbeat func() Heartbeat
	log       *logrus.Entry
	mu        sync.Mutex
	nextID    atomic.Uint64
	onMessage func(from Hello, m Message)
	onRequest func(ctx context.Context, from Hello, m Message) (Message, error)
	peers     map[string]fleet.Host
	scheme    string
	self      Hello
	tls       *tls.Config
	// wake starts the next round of Run before its tick.
	wake chan struct{}
}

// Option configures a Mesh.
type Option func(*Mesh)

// Status is the state of a connected peer.
type Status struct {
	Hello
	// SinceLastRead is the time since the last frame from the peer.
	SinceLastRead time.Duration
}

// NewMesh returns a mesh that introduces itself to peers with self.
func NewMesh(self Hello, log *logrus.Entry, opts ...Option) *Mesh {
	m := &Mesh{
		conns:     map[string]*conn{},
		dialing:   map[string]bool{},
		heartbeat: func() Heartbeat { return Heartbeat{} },
		log:       log,
		onMessage: func(Hello, Message) {},
		onRequest: func(context.Context, Hello, Message) (Message, error) {
			return Message{}, eris.New("no handler")
		},
		peers:  map[string]fleet.Host{},
		scheme: "ws://",
		self:   self,
		wake:   make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// WithHeartbeat sets the function that builds each heartbeat.
func WithHeartbeat(f func() Heartbeat) Option { return func(m *Mesh) { m.heartbeat = f } }

// WithMessages sets the handler for one-way messages. It runs on the connection's read loop and must not block.
func WithMessages(f func(from Hello, m Message)) Option { return func(m *Mesh) { m.onMessage = f } }

// WithRequests sets the handler for requests; each call runs in its own goroutine.
func WithRequests(f func(ctx context.Context, from Hello, m Message) (Message, error)) Option {
	return func(m *Mesh) { m.onRequest = f }
}

// WithBudget limits the bytes of messages that are being received; the default is no limit.
func WithBudget(b *clientmemory.Budget) Option { return func(m *Mesh) { m.budget = b } }

// WithTLS makes the mesh dial with TLS.
func WithTLS(c *tls.Config) Option {
	return func(m *Mesh) {
		if c != nil {
			m.scheme, m.tls = "wss://", c
		}
	}
}

// BroadcastHeartbeat sends a heartbeat to all connected peers at once, for changes that can't wait for the interval.
func (m *Mesh) BroadcastHeartbeat() {
	hb := m.heartbeat()
	frame := encode(Message{Heartbeat: &hb})
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		_ = c.sendFrame(frame) // the next regular heartbeat carries the same state
	}
}

// Connected returns the connected peers, sorted by id.
func (m *Mesh) Connected() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Status
	for _, c := range m.conns {
		out = append(out, Status{Hello: c.hello, SinceLastRead: c.sinceLastRead()})
	}
	slices.SortFunc(out, func(a, b Status) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return out
}

// Request sends a message and waits for its reply. Errors match ErrNotConnected, ErrRefused or the error of ctx.
func (m *Mesh) Request(ctx context.Context, host string, msg Message) (Message, error) {
	c := m.conn(host)
	if c == nil {
		return Message{}, eris.Wrap(ErrNotConnected, host)
	}
	msg.ID = m.nextID.Add(1)
	reply := c.addPending(msg.ID)
	defer c.removePending(msg.ID)
	if err := c.send(msg); err != nil {
		return Message{}, err
	}
	select {
	case <-ctx.Done():
		return Message{}, eris.Wrapf(ctx.Err(), "waiting for %s", host)
	case <-c.done:
		return Message{}, eris.Wrapf(ErrNotConnected, "%s: connection ended before the reply", host)
	case got := <-reply:
		if got.RefusedReason != "" {
			return Message{}, eris.Wrapf(ErrRefused, "%s: %s", host, got.RefusedReason)
		}
		return got, nil
	}
}

// Run dials missing peers and sends heartbeats until ctx is cancelled, then closes all connections.
func (m *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatIntervalInZone / 2)
	defer ticker.Stop()
	for {
		m.dialMissing(ctx)
		m.sendHeartbeats()
		select {
		case <-ctx.Done():
			m.closeAll("host stops")
			return
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// Send queues a one-way message to a connected host. Errors match ErrNotConnected.
func (m *Mesh) Send(host string, msg Message) error {
	c := m.conn(host)
	if c == nil {
		return eris.Wrap(ErrNotConnected, host)
	}
	return c.send(msg)
}

// ServeHTTP accepts an inbound connection of another entry host and serves it until it ends.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		m.log.WithError(err).Warn("WebSocket handshake of a peer failed")
		return
	}
	m.serveConn(r.Context(), ws, "", r.RemoteAddr)
}

// SetPeers replaces the set of hosts to connect to; the mesh's own id is ignored.
func (m *Mesh) SetPeers(hosts []fleet.Host) {
	m.mu.Lock()
	m.peers = map[string]fleet.Host{}
	for _, h := range hosts {
		if h.ID != m.self.Host {
			m.peers[h.ID] = h
		}
	}
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Zone returns the connected peers in a zone.
func (m *Mesh) Zone(zone string) []Status {
	return slices.DeleteFunc(m.Connected(), func(s Status) bool { return s.Zone != zone })
}

// isExpectedPeer reports whether a peer's hello may carry this id. expectedID is the id of the host that was dialled,
// or empty for an inbound connection.
func (m *Mesh) isExpectedPeer(id, expectedID string) bool {
	return id != "" && id != m.self.Host && (expectedID == "" || id == expectedID)
}

// sendHeartbeats sends the heartbeats that are due, and closes connections from which nothing was read for
// maxMissedHeartbeats intervals.
func (m *Mesh) sendHeartbeats() {
	m.mu.Lock()
	conns := make([]*conn, 0, len(m.conns))
	for _, c := range m.conns {
		conns = append(conns, c)
	}
	m.mu.Unlock()
	var frame []byte
	for _, c := range conns {
		interval := heartbeatIntervalAcrossZones
		if c.hello.Zone == m.self.Zone {
			interval = heartbeatIntervalInZone
		}
		if c.sinceLastRead() > maxMissedHeartbeats*interval {
			silentConnsClosed.Add(1)
			m.log.WithFields(logrus.Fields{"peer": c.hello.Host, "silence": c.sinceLastRead().String()}).
				Warn("closed peer connection: nothing received within the heartbeat timeout")
			c.close("silent")
			continue
		}
		if !c.heartbeatDue(interval) {
			continue
		}
		if frame == nil {
			hb := m.heartbeat()
			frame = encode(Message{Heartbeat: &hb})
		}
		_ = c.sendFrame(frame)
	}
}

func (m *Mesh) closeAll(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		go c.close(reason)
	}
}

func (m *Mesh) conn(host string) *conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conns[host]
}
