package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// conn is one WebSocket to another entry host.
type conn struct {
	cancel context.CancelFunc
	ctx    context.Context
	// dialled says that this host opened the connection.
	dialled  bool
	done     <-chan struct{}
	hello    Hello
	lastBeat time.Time
	lastRead atomic.Int64 // unix nanoseconds
	mu       sync.Mutex
	out      chan []byte
	waiting  map[uint64]chan Message
	ws       *websocket.Conn
}

func newConn(ctx context.Context, ws *websocket.Conn) *conn {
	ws.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(ctx)
	c := &conn{
		cancel:  cancel,
		ctx:     ctx,
		done:    ctx.Done(),
		out:     make(chan []byte, outstandingFrames),
		waiting: map[uint64]chan Message{},
		ws:      ws,
	}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

func (c *conn) beatDue(interval time.Duration) bool {
	if time.Since(c.lastBeat) < interval-heartbeatInZone/4 {
		return false
	}
	c.lastBeat = time.Now()
	return true
}

func (c *conn) close(reason string) {
	c.cancel()
	_ = c.ws.Close(websocket.StatusNormalClosure, reason)
}

// deliver hands a reply to its request and reports whether there was one.
func (c *conn) deliver(msg Message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch, ok := c.waiting[msg.ID]
	if ok {
		delete(c.waiting, msg.ID)
		ch <- msg
	}
	return ok
}

func (c *conn) expect(id uint64) <-chan Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan Message, 1)
	c.waiting[id] = ch
	return ch
}

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

func (c *conn) read() (Message, error) {
	_, frame, err := c.ws.Read(c.ctx)
	if err != nil {
		return Message{}, err
	}
	c.lastRead.Store(time.Now().UnixNano())
	bytesIn.Add(int64(len(frame)))
	return Decode(frame)
}

func (c *conn) send(msg Message) error { return c.sendFrame(encode(msg)) }

func (c *conn) sendFrame(frame []byte) error {
	select {
	case <-c.done:
		return eris.Wrap(ErrNotConnected, c.hello.Host)
	case c.out <- frame:
		return nil
	default:
		// A peer that reads too slowly is as good as silent.
		c.cancel()
		return eris.Wrapf(ErrNotConnected, "%s reads too slowly", c.hello.Host)
	}
}

func (c *conn) silence() time.Duration { return time.Since(time.Unix(0, c.lastRead.Load())) }

func (c *conn) write() {
	defer c.cancel()
	for {
		select {
		case <-c.done:
			return
		case frame := <-c.out:
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

// Decode reads a frame; malformed frames return an error.
func Decode(frame []byte) (Message, error) {
	var m Message
	err := cbor.Unmarshal(frame, &m)
	return m, eris.Wrap(err, "malformed frame")
}

// encoding keeps fractions of seconds, which the order of decisions from several hosts depends on.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

func encode(m Message) []byte {
	frame, err := encoding.Marshal(m)
	if err != nil {
		panic(err) // messages hold no type that cannot be encoded
	}
	return frame
}

// Size returns the bytes of a message on the wire, without the headers of the connection.
func Size(m Message) int { return len(encode(m)) }
