package peer

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
)

const (
	// poolDialTimeout allows for two round trips between zones and the retransmission of a lost packet.
	poolDialTimeout = 600 * time.Millisecond
	// minTrustedTimeout is the shortest timeout whose expiry suggests that a silent connection is dead. A shorter one also
	// expires when a packet is lost, which TCP resends after 200 ms.
	minTrustedTimeout = 350 * time.Millisecond
	// defaultSilenceLimit is how long requests with shorter timeouts may stay without any reply.
	defaultSilenceLimit = time.Second
)

// Pool dials other entry hosts on demand and serves their inbound connections. Unlike a Mesh it opens no connection
// before it is needed, so its cost does not grow with the number of hosts.
type Pool struct {
	budget    *clientmemory.Budget
	conns     map[string]*conn
	dialing   map[string]*dialAttempt
	log       *logrus.Entry
	mu        sync.Mutex
	nextID    atomic.Uint64
	onRequest func(ctx context.Context, m Message) (Message, error)
	// silenceLimit is the time without a frame from the peer after which any unanswered request replaces the connection.
	silenceLimit time.Duration
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// dialAttempt is an attempt to connect. conn or err is set before done is closed.
type dialAttempt struct {
	conn *conn
	done chan struct{}
	err  error
}

// NewPool returns a pool that handles inbound requests with onRequest.
func NewPool(
	log *logrus.Entry, onRequest func(ctx context.Context, m Message) (Message, error), opts ...PoolOption,
) *Pool {
	p := &Pool{
		conns: map[string]*conn{}, dialing: map[string]*dialAttempt{}, log: log, onRequest: onRequest,
		silenceLimit: defaultSilenceLimit,
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// WithSilenceLimit sets how long requests with short timeouts may stay without any reply before the connection is replaced;
// the default is 1 s.
func WithSilenceLimit(d time.Duration) PoolOption { return func(p *Pool) { p.silenceLimit = d } }

// WithPoolBudget limits the bytes of messages that are being received; the default is no limit.
func WithPoolBudget(b *clientmemory.Budget) PoolOption { return func(p *Pool) { p.budget = b } }

// Request sends a message to a host:port address and waits for the reply. Errors match ErrNotConnected if nothing was
// sent, ErrRefused, or the cause of the end of ctx; an error that matches none of them means that the connection ended before
// the reply. If the timeout of ctx passes and nothing at all was read since the request, the connection may be dead without an
// error, so later requests use a new one; after a timeout below minTrustedTimeout only if no request got a reply within the silence
// limit. Requests that wait on the old connection may still get their replies, since the peer may only be slow. A context without a
// deadline has timed out if the cause of its end matches context.DeadlineExceeded.
func (p *Pool) Request(ctx context.Context, address string, msg Message) (Message, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return Message{}, err
	}
	msg.ID = p.nextID.Add(1)
	reply := c.addPending(msg.ID)
	defer c.removePending(msg.ID)
	if c.ctx.Err() != nil {
		return Message{}, eris.Wrapf(ErrNotConnected, "%s: connection ended before the request", address)
	}
	sentAt := time.Now()
	c.unansweredSince.CompareAndSwap(0, sentAt.UnixNano())
	if err := c.send(msg); err != nil {
		return Message{}, err
	}
	select {
	case r := <-reply:
		if r.RefusedReason != "" {
			return Message{}, eris.Wrap(ErrRefused, r.RefusedReason)
		}
		return r, nil
	case <-c.done:
		return Message{}, eris.Errorf("connection to %s ended before the reply", address)
	case <-ctx.Done():
		if p.isUnresponsive(ctx, c, sentAt) {
			p.replace(address, c)
		}
		return Message{}, eris.Wrapf(context.Cause(ctx), "asking %s", address)
	}
}

// ServeHTTP accepts an inbound connection of another entry host and serves it until it ends.
func (p *Pool) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		p.log.WithError(err).Warn("WebSocket handshake of a peer failed")
		return
	}
	p.readLoop(newConn(context.Background(), ws, clientOf(r.RemoteAddr), p.budget))
}

// Close closes all connections that the pool dialled, except for replaced ones on which requests still wait.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		c.cancel()
		delete(p.conns, address)
	}
}

func (p *Pool) readLoop(c *conn) {
	go c.writeLoop()
	defer c.close("ended")
	for {
		msg, err := c.read()
		if err != nil {
			return
		}
		if msg.Reply {
			if !c.deliverReply(msg) {
				p.log.WithField("id", msg.ID).Debug("dropped a reply that matches no pending request")
			}
			continue
		}
		go p.handleRequest(c, msg)
	}
}

func (p *Pool) handleRequest(c *conn, msg Message) {
	reply, err := p.answer(c.ctx, msg)
	if err != nil {
		reply = Message{RefusedReason: err.Error()}
	}
	reply.ID, reply.Reply = msg.ID, true
	if err := c.send(reply); err != nil {
		p.log.WithError(err).Debug("reply to a peer was not sent")
	}
}

// answer calls onRequest. A request on which that panics is refused; the connection and the process go on.
func (p *Pool) answer(ctx context.Context, msg Message) (reply Message, err error) {
	defer func() {
		if v := recover(); v != nil {
			requestPanics.Add(1)
			p.log.WithFields(logrus.Fields{
				"decision": "panic_recovered", "in": "peer_request", "id": msg.ID, "panic": v, "stack": string(debug.Stack()),
			}).Error("recovered from a panic while answering a peer")
			err = eris.Wrapf(ErrRefused, "internal error")
		}
	}()
	return p.onRequest(ctx, msg)
}

// conn returns the open connection to an address, or dials one. Concurrent calls for the same address share the attempt.
func (p *Pool) conn(ctx context.Context, address string) (*conn, error) {
	p.mu.Lock()
	if c := p.conns[address]; c != nil && c.ctx.Err() == nil {
		p.mu.Unlock()
		return c, nil
	}
	attempt := p.dialing[address]
	if attempt == nil {
		attempt = &dialAttempt{done: make(chan struct{})}
		p.dialing[address] = attempt
		go p.dial(address, attempt)
	}
	p.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, eris.Wrapf(ErrNotConnected, "%s: %s", address, ctx.Err())
	}
}

func (p *Pool) dial(address string, attempt *dialAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), poolDialTimeout)
	defer cancel()
	ws, res, err := websocket.Dial(ctx, "ws://"+address+"/peer", &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	if res != nil && res.Body != nil {
		_ = res.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialing, address)
	if err != nil {
		attempt.err = eris.Wrapf(ErrNotConnected, "%s: %s", address, err)
	} else {
		attempt.conn = newConn(context.Background(), ws, clientOf(address), p.budget)
		attempt.conn.hello.Host = address
		p.conns[address] = attempt.conn
		go p.readLoop(attempt.conn)
	}
	close(attempt.done)
}

// isUnresponsive reports whether a connection is to be replaced because a request that was sent at sentAt got no reply
// before ctx ended.
func (p *Pool) isUnresponsive(ctx context.Context, c *conn, sentAt time.Time) bool {
	if !time.Unix(0, c.lastRead.Load()).Before(sentAt) {
		return false
	}
	timeout := time.Since(sentAt)
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, deadline.Sub(sentAt))
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) && timeout >= minTrustedTimeout {
		return true
	}
	since := c.unansweredSince.Load()
	return since != 0 && time.Since(time.Unix(0, since)) >= p.silenceLimit
}

// replace makes later requests to an address dial a new connection. The old one is closed when no request waits on it: a peer that
// is late by more than the shortest timeout would otherwise fail requests whose callers still wait, such as submissions.
func (p *Pool) replace(address string, c *conn) {
	p.mu.Lock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	if c.markReplaced() {
		silentConnsClosed.Add(1)
	}
}
