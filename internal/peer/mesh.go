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

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// Timing of the mesh. Zones are far apart and their links costly, so heartbeats between them are rarer.
const (
	heartbeatInZone   = time.Second
	heartbeatAcross   = 3 * time.Second
	missedHeartbeats  = 3
	dialTimeout       = 2 * time.Second
	writeTimeout      = 2 * time.Second
	helloTimeout      = 2 * time.Second
	redialMinimum     = 200 * time.Millisecond
	redialMaximum     = 3 * time.Second
	maxMessageBytes   = 4 << 20
	outstandingFrames = 256
)

// Errors of a Mesh.
var (
	// ErrNotConnected says that no connection to the host exists, so nothing was sent.
	ErrNotConnected = eris.New("no connection to the entry host")
	// ErrRefused says that the host answered with a refusal.
	ErrRefused = eris.New("refused by the entry host")
)

var (
	bytesIn      = expvar.NewInt("peer_bytes_in")
	bytesOut     = expvar.NewInt("peer_bytes_out")
	silentCloses = expvar.NewInt("peer_silent_connections_closed")
)

// Mesh keeps connections to other entry hosts and passes messages between them.
type Mesh struct {
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
	wake      chan struct{}
}

// Option sets a property of a Mesh.
type Option func(*Mesh)

// Status describes a connected peer.
type Status struct {
	Hello
	// Silence is the time since its last message.
	Silence time.Duration
}

// NewMesh returns a mesh for the host that self describes.
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

// WithHeartbeat sets what each heartbeat says.
func WithHeartbeat(f func() Heartbeat) Option { return func(m *Mesh) { m.heartbeat = f } }

// WithMessages sets the handler of messages that want no reply; it must not block.
func WithMessages(f func(from Hello, m Message)) Option { return func(m *Mesh) { m.onMessage = f } }

// WithRequests sets the handler of messages that want a reply.
func WithRequests(f func(ctx context.Context, from Hello, m Message) (Message, error)) Option {
	return func(m *Mesh) { m.onRequest = f }
}

// WithTLS makes the mesh dial with TLS.
func WithTLS(c *tls.Config) Option {
	return func(m *Mesh) {
		if c != nil {
			m.scheme, m.tls = "wss://", c
		}
	}
}

// BeatNow sends a heartbeat to all peers at once, for news that should not wait.
func (m *Mesh) BeatNow() {
	hb := m.heartbeat()
	frame := encode(Message{Heartbeat: &hb})
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		_ = c.sendFrame(frame) // the regular heartbeat follows
	}
}

// Connected returns the connected peers by id.
func (m *Mesh) Connected() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Status
	for _, c := range m.conns {
		out = append(out, Status{Hello: c.hello, Silence: c.silence()})
	}
	slices.SortFunc(out, func(a, b Status) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return out
}

// Request sends a message and waits for its reply; errors match ErrNotConnected, ErrRefused or ctx's.
func (m *Mesh) Request(ctx context.Context, host string, msg Message) (Message, error) {
	c := m.conn(host)
	if c == nil {
		return Message{}, eris.Wrap(ErrNotConnected, host)
	}
	msg.ID = m.nextID.Add(1)
	reply := c.expect(msg.ID)
	defer c.forget(msg.ID)
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

// Run keeps the connections until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInZone / 2)
	defer ticker.Stop()
	for {
		m.dialMissing(ctx)
		m.beat()
		select {
		case <-ctx.Done():
			m.closeAll("host stops")
			return
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// Send passes a message to a connected host; errors match ErrNotConnected.
func (m *Mesh) Send(host string, msg Message) error {
	c := m.conn(host)
	if c == nil {
		return eris.Wrap(ErrNotConnected, host)
	}
	return c.send(msg)
}

// ServeHTTP accepts the connection of another entry host.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		m.log.WithError(err).Warn("peer connection refused")
		return
	}
	m.serve(r.Context(), ws, "")
}

// SetPeers replaces the hosts to keep connections to.
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

// Zone returns the connected peers of a zone.
func (m *Mesh) Zone(zone string) []Status {
	return slices.DeleteFunc(m.Connected(), func(s Status) bool { return s.Zone != zone })
}

// accepts reports whether a peer may have the id that it claims; want is the host that was dialled, if any.
func (m *Mesh) accepts(id, want string) bool {
	return id != "" && id != m.self.Host && (want == "" || id == want)
}

// beat sends the heartbeats that are due and closes connections that are silent.
func (m *Mesh) beat() {
	m.mu.Lock()
	conns := make([]*conn, 0, len(m.conns))
	for _, c := range m.conns {
		conns = append(conns, c)
	}
	m.mu.Unlock()
	var frame []byte
	for _, c := range conns {
		interval := heartbeatAcross
		if c.hello.Zone == m.self.Zone {
			interval = heartbeatInZone
		}
		if c.silence() > missedHeartbeats*interval {
			silentCloses.Add(1)
			m.log.WithFields(logrus.Fields{"peer": c.hello.Host, "silence": c.silence().String()}).
				Warn("peer connection is silent and is closed")
			c.close("silent")
			continue
		}
		if !c.beatDue(interval) {
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
