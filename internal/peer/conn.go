package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
)

// longMessageBytes is the length from which messages are decoded one at a time.
const longMessageBytes = 64 << 10

// conn is one WebSocket connection to another entry host.
type conn struct {
	// budget limits the bytes of messages that are being received.
	budget *clientmemory.Budget
	cancel context.CancelFunc
	// client is the address of the other host, to which its messages are charged.
	client string
	ctx    context.Context
	// outbound is true if this host opened the connection.
	outbound      bool
	done          <-chan struct{}
	hello         Hello
	lastHeartbeat time.Time
	// isReplaced is set once a Pool sends new requests on another connection. The connection is closed when no request waits on it.
	isReplaced bool
	lastRead   atomic.Int64 // unix nanoseconds
	mu         sync.Mutex
	sendQueue  chan []byte
	// pending holds the channels for the replies to outstanding requests, by message id.
	pending map[uint64]chan Message
	// unansweredSince is when a Pool sent the first request after the last frame was read, in Unix nanoseconds; 0 if none.
	unansweredSince atomic.Int64
	ws              *websocket.Conn
}

func newConn(ctx context.Context, ws *websocket.Conn, client string, budget *clientmemory.Budget) *conn {
	ws.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(ctx)
	c := &conn{
		budget:    budget,
		cancel:    cancel,
		client:    client,
		ctx:       ctx,
		done:      ctx.Done(),
		sendQueue: make(chan []byte, maxQueuedFrames),
		pending:   map[uint64]chan Message{},
		ws:        ws,
	}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

// heartbeatDue reports whether the interval has passed since the last heartbeat, and if so starts the next interval.
// The tolerance of a quarter of a second keeps a heartbeat from slipping by a whole tick of Mesh.Run.
func (c *conn) heartbeatDue(interval time.Duration) bool {
	if time.Since(c.lastHeartbeat) < interval-heartbeatIntervalInZone/4 {
		return false
	}
	c.lastHeartbeat = time.Now()
	return true
}

func (c *conn) close(reason string) {
	c.cancel()
	_ = c.ws.Close(websocket.StatusNormalClosure, reason)
}

// deliverReply passes a reply to the pending request with its id, and reports whether there is one.
func (c *conn) deliverReply(msg Message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch, ok := c.pending[msg.ID]
	if ok {
		delete(c.pending, msg.ID)
		ch <- msg
	}
	return ok
}

// addPending registers a request and returns the channel that receives its reply.
func (c *conn) addPending(id uint64) <-chan Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan Message, 1)
	c.pending[id] = ch
	return ch
}

func (c *conn) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
	if c.isReplaced && len(c.pending) == 0 {
		c.cancel()
	}
}

// markReplaced closes the connection as soon as no request waits on it. It returns false if the connection was marked before.
func (c *conn) markReplaced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isFirst := !c.isReplaced
	c.isReplaced = true
	if len(c.pending) == 0 {
		c.cancel()
	}
	return isFirst
}

func (c *conn) read() (Message, error) {
	_, r, err := c.ws.Reader(c.ctx)
	if err != nil {
		return Message{}, err
	}
	hold := c.budget.Open(c.client, c.cancel)
	defer hold.Close()
	body, err := clientmemory.ReadBody(hold, r, -1)
	if err != nil {
		if errors.Is(err, clientmemory.ErrShort) {
			hold.Refuse(clientmemory.ReasonMessage)
		}
		return Message{}, err
	}
	c.lastRead.Store(time.Now().UnixNano())
	c.unansweredSince.Store(0)
	bytesIn.Add(int64(body.Len()))
	if body.Len() <= longMessageBytes {
		return Decode(body.Join())
	}
	var msg Message
	err = clientmemory.Decode(c.ctx, func() error {
		var err error
		msg, err = Decode(body.Join())
		return err
	})
	return msg, err
}

func (c *conn) send(msg Message) error { return c.sendFrame(encode(msg)) }

// sendFrame queues a frame without blocking.
func (c *conn) sendFrame(frame []byte) error {
	select {
	case <-c.done:
		return eris.Wrap(ErrNotConnected, c.hello.Host)
	case c.sendQueue <- frame:
		return nil
	default:
		// Frames are not dropped one by one: a peer that lets the queue fill up is disconnected, like an unresponsive one.
		c.cancel()
		return eris.Wrapf(ErrNotConnected, "%s: send queue is full", c.hello.Host)
	}
}

// clientOf returns the client that a host:port address belongs to.
func clientOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

func (c *conn) sinceLastRead() time.Duration { return time.Since(time.Unix(0, c.lastRead.Load())) }

func (c *conn) writeLoop() {
	defer c.cancel()
	for {
		select {
		case <-c.done:
			return
		case frame := <-c.sendQueue:
			ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
			err := c.ws.Write(ctx, websocket.MessageBinary, frame)
			cancel()
			if err != nil {
				return
			}
			bytesOut.Add(int64(len(frame)))
		}
	}
}

// Decode parses a CBOR frame.
func Decode(frame []byte) (Message, error) {
	var m Message
	err := cbor.Unmarshal(frame, &m)
	return m, eris.Wrap(err, "malformed frame")
}

// encMode encodes times with nanoseconds, because decisions from several hosts are merged in the order of their times.
var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

func encode(m Message) []byte {
	frame, err := encMode.Marshal(m)
	if err != nil {
		panic(err) // all field types of Message can be encoded
	}
	return frame
}

// Size returns the encoded length of a message in bytes, without WebSocket, TLS and TCP overhead.
func Size(m Message) int { return len(encode(m)) }
