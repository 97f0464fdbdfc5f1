package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"
)

// serve exchanges messages until the connection ends; want is the host that was dialled, if any.
func (m *Mesh) serve(ctx context.Context, ws *websocket.Conn, want string) {
	c := newConn(ctx, ws)
	defer c.close("ended")
	go c.write()
	if err := c.send(Message{Hello: &m.self}); err != nil {
		return
	}
	// Before its hello the connection is not among those whose silence is watched.
	timeout := time.AfterFunc(helloTimeout, c.cancel)
	first, err := c.read()
	timeout.Stop()
	if err != nil || first.Hello == nil || !m.accepts(first.Hello.Host, want) {
		m.log.WithField("peer", want).Warn("peer did not say who it is, or is another host")
		return
	}
	c.dialled, c.hello = want != "", *first.Hello
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
		if !c.deliver(msg) {
			m.log.WithFields(logrus.Fields{"peer": c.hello.Host, "id": msg.ID}).
				Info("reply matches no request and is dropped")
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

// register makes c the connection to its host and closes the one before. If both hosts dialled at the same
// time, both keep the one that the lower id dialled.
func (m *Mesh) register(c *conn) bool {
	m.mu.Lock()
	old := m.conns[c.hello.Host]
	if old != nil && old.ctx.Err() == nil && old.hello.Run == c.hello.Run && m.dialler(old) < m.dialler(c) {
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

func (m *Mesh) dialler(c *conn) string {
	if c.dialled {
		return m.self.Host
	}
	return c.hello.Host
}
