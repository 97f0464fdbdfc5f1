package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// poolDialTimeout covers two round trips between zones and a lost packet.
const poolDialTimeout = 600 * time.Millisecond

// Pool opens connections to other entry hosts when there is something to send, and answers what they send. Unlike a
// Mesh it keeps no connection that is not used, so its cost does not grow with the number of hosts.
type Pool struct {
	conns     map[string]*conn
	dialing   map[string]*dialed
	log       *logrus.Entry
	mu        sync.Mutex
	nextID    atomic.Uint64
	onRequest func(ctx context.Context, m Message) (Message, error)
}

// dialed is an attempt to connect; its other fields are set when done is closed.
type dialed struct {
	conn *conn
	done chan struct{}
	err  error
}

// NewPool returns a pool that answers requests with onRequest.
func NewPool(log *logrus.Entry, onRequest func(ctx context.Context, m Message) (Message, error)) *Pool {
	return &Pool{conns: map[string]*conn{}, dialing: map[string]*dialed{}, log: log, onRequest: onRequest}
}

// Request sends a message to a host:port and waits for the reply; errors match ErrNotConnected if nothing was sent,
// ErrRefused, or ctx's. A connection that did not answer in time is closed, since it may be silent for good.
func (p *Pool) Request(ctx context.Context, address string, msg Message) (Message, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return Message{}, err
	}
	msg.ID = p.nextID.Add(1)
	reply := c.expect(msg.ID)
	defer c.forget(msg.ID)
	asked := time.Now()
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
		if time.Unix(0, c.lastRead.Load()).Before(asked) {
			p.drop(address, c)
		}
		return Message{}, eris.Wrapf(ctx.Err(), "asking %s", address)
	}
}

// ServeHTTP takes a connection of another host.
func (p *Pool) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		p.log.WithError(err).Warn("peer could not connect")
		return
	}
	p.read(newConn(context.Background(), ws))
}

// Close ends all connections that the pool opened.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		c.cancel()
		delete(p.conns, address)
	}
}

func (p *Pool) read(c *conn) {
	go c.write()
	defer c.close("ended")
	for {
		msg, err := c.read()
		if err != nil {
			return
		}
		if msg.Reply {
			if !c.deliver(msg) {
				p.log.WithField("id", msg.ID).Debug("reply matches no request and is dropped")
			}
			continue
		}
		go p.answer(c, msg)
	}
}

func (p *Pool) answer(c *conn, msg Message) {
	reply, err := p.onRequest(c.ctx, msg)
	if err != nil {
		reply = Message{RefusedReason: err.Error()}
	}
	reply.ID, reply.Reply = msg.ID, true
	if err := c.send(reply); err != nil {
		p.log.WithError(err).Debug("reply was not sent")
	}
}

// conn returns the open connection to an address or dials one; callers that come meanwhile share the attempt.
func (p *Pool) conn(ctx context.Context, address string) (*conn, error) {
	p.mu.Lock()
	if c := p.conns[address]; c != nil && c.ctx.Err() == nil {
		p.mu.Unlock()
		return c, nil
	}
	d := p.dialing[address]
	if d == nil {
		d = &dialed{done: make(chan struct{})}
		p.dialing[address] = d
		go p.dial(address, d)
	}
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, eris.Wrapf(ErrNotConnected, "%s: %s", address, ctx.Err())
	}
}

func (p *Pool) dial(address string, d *dialed) {
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
		d.err = eris.Wrapf(ErrNotConnected, "%s: %s", address, err)
	} else {
		d.conn = newConn(context.Background(), ws)
		d.conn.hello.Host = address
		p.conns[address] = d.conn
		go p.read(d.conn)
	}
	close(d.done)
}

func (p *Pool) drop(address string, c *conn) {
	silentCloses.Add(1)
	c.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
}
