package listener

import (
	"net"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/clientmemory"
)

const (
	// freeShare limits the connections of one client to this multiple of those that are left, so that one quarter stays for others.
	freeShare = 3
	// heavyShare is the part of all connections from which a client takes the place of its own connections only.
	heavyShare = 4
	// busyTime is how long a connection whose request is being worked on may be silent until it may be closed for a new one. It is longer
	// than any request and than the pauses of a feed.
	busyTime = time.Minute
)

// boundedListener limits the open connections, together and for each client. When a new one comes, it closes the one that was silent for the
// longest time, as long as its request is not being worked on.
type boundedListener struct {
	net.Listener
	budget  *clientmemory.Budget
	clients map[string]int
	conns   map[*conn]struct{}
	max     int
	mu      sync.Mutex
	report  *clientmemory.Reporter
}

func newBoundedListener(l net.Listener, s Server) *boundedListener {
	return &boundedListener{
		Listener: l, budget: s.HeaderBytes, clients: map[string]int{}, conns: map[*conn]struct{}{}, max: s.Connections, report: s.Report,
	}
}

// Accept returns the next connection within the limits; others are closed.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(accepted, l)
		if l.add(c) {
			return c, nil
		}
		l.report.Add(clientmemory.ReasonConnection, c.client)
		_ = accepted.Close()
	}
}

// add registers a connection, and closes others if that is necessary. It returns false if there is no place for it.
func (l *boundedListener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.fits(c.client) {
		victim := l.mostSilent(c.client)
		if victim == nil {
			return false
		}
		l.report.Add(clientmemory.ReasonIdle, victim.client)
		l.forget(victim)
		_ = victim.Conn.Close()
	}
	l.conns[c] = struct{}{}
	l.clients[c.client]++
	return true
}

// fits reports whether a client may have a further connection. The caller holds l.mu.
func (l *boundedListener) fits(client string) bool {
	left := l.max - len(l.conns) - 1
	return left >= 0 && (l.clients[client] == 0 || l.clients[client]+1 <= freeShare*left)
}

// mostSilent returns the connection that may be closed for one of a client and was silent for the longest time, or nil. The caller holds
// l.mu.
func (l *boundedListener) mostSilent(client string) *conn {
	isHeavy := l.clients[client] >= l.max/heavyShare
	var found *conn
	var since int64
	idleSince := time.Now().Add(-busyTime).UnixNano()
	for c := range l.conns {
		active := c.activeAt.Load()
		if isHeavy && c.client != client {
			continue
		}
		if (!c.isBusy.Load() || active < idleSince) && (found == nil || active < since) {
			found, since = c, active
		}
	}
	return found
}

func (l *boundedListener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; ok {
		l.forget(c)
	}
}

// forget takes a connection out of the counts. The caller holds l.mu.
func (l *boundedListener) forget(c *conn) {
	delete(l.conns, c)
	if l.clients[c.client]--; l.clients[c.client] == 0 {
		delete(l.clients, c.client)
	}
}
