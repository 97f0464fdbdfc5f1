package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"
)

// serveConn exchanges hellos and then dispatches messages until the connection ends. expectedID is the id of the host
// that was dialled, or empty for an inbound connection; address is the other host's.
func (m *Mesh) serveConn(ctx context.Context, ws *websocket.Conn, expectedID, address string) {
	c := newConn(ctx, ws, clientOf(address), m.budget)
	defer c.close("ended")
	go c.writeLoop()
	if err := c.send(Message{Hello: &m.self}); err != nil {
		return
	}
	// The connection is registered only after the hello, so the heartbeat timeout does not cover it yet.
	timeout := time.AfterFunc(helloTimeout, c.cancel)
	first, err := c.read()
	timeout.Stop()
	if err != nil || first.Hello == nil || !m.isExpectedPeer(first.Hello.Host, expectedID) {
		m.log.WithField("peer", expectedID).Warn("rejected peer connection: no valid hello, or unexpected host id")
		return
	}
	c.outbound, c.hello = expectedID != "", *first.Hello
	if !m.register(c) {
		return
	}
	defer func() {
		m.mu.Lock()
		if m.conns[c.hello.Host] == c {
			delete(m.conns, c.hello.Host)
		}
		m.mu.Unlock()
	}()
	for {
		msg, err := c.read()
		if err != nil {
			return
		}
		m.dispatch(c, msg)
	}
}

func (m *Mesh) dispatch(c *conn, msg Message) {
	switch {
	case msg.Reply:
		if !c.deliverReply(msg) {
			m.log.WithFields(logrus.Fields{"peer": c.hello.Host, "id": msg.ID}).
				Info("dropped a reply that matches no pending request")
		}
	case msg.ID != 0:
		go func() {
			reply, err := m.onRequest(c.ctx, c.hello, msg)
			if err != nil {
				reply = Message{RefusedReason: err.Error()}
			}
			reply.ID, reply.Reply = msg.ID, true
			_ = c.send(reply)
		}()
	default:
		m.onMessage(c.hello, msg)
	}
}

// register makes c the connection to its host and closes the previous one. If both hosts dialled at the same time,
// both keep the connection that the host with the lower id opened; register then returns false for the other one.
func (m *Mesh) register(c *conn) bool {
	m.mu.Lock()
	old := m.conns[c.hello.Host]
	if old != nil && old.ctx.Err() == nil && old.hello.Incarnation == c.hello.Incarnation && m.initiator(old) < m.initiator(c) {
		m.mu.Unlock()
		return false
	}
	m.conns[c.hello.Host] = c
	m.mu.Unlock()
	if old != nil {
		old.close("replaced")
	}
	return true
}

// initiator returns the id of the host that opened the connection.
func (m *Mesh) initiator(c *conn) string {
	if c.outbound {
		return m.self.Host
	}
	return c.hello.Host
}
