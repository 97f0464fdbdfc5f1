package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// dialMissing starts dialling the configured peers without a connection. Within a zone only the host with the lower id
// dials, so that a pair of hosts does not open two connections. Across zones the host that lists the peer dials.
func (m *Mesh) dialMissing(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, h := range m.peers {
		if m.conns[id] != nil || m.dialing[id] || (h.Zone == m.self.Zone && id < m.self.Host) {
			continue
		}
		m.dialing[id] = true
		go m.dialLoop(ctx, id)
	}
}

// dialLoop dials a peer at its current address, with exponential backoff, until a connection exists (opened by either
// side) or the peer is no longer configured. While its own connection lasts, the loop serves it.
func (m *Mesh) dialLoop(ctx context.Context, id string) {
	defer func() {
		m.mu.Lock()
		delete(m.dialing, id)
		m.mu.Unlock()
	}()
	delay := minRedialDelay
	for ctx.Err() == nil && m.conn(id) == nil {
		h, ok := m.lookupPeer(id)
		if !ok {
			return
		}
		started := time.Now()
		ws, err := m.openWebSocket(ctx, h)
		if err == nil {
			m.serveConn(ctx, ws, h.ID, h.PeerAddress)
		}
		if time.Since(started) > maxRedialDelay {
			delay = minRedialDelay
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

func (m *Mesh) openWebSocket(ctx context.Context, h fleet.Host) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: m.tls, Proxy: nil}}
	ws, res, err := websocket.Dial(ctx, m.scheme+h.PeerAddress+"/peer", &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled,
		HTTPClient:      client,
	})
	if res != nil && res.Body != nil {
		_ = res.Body.Close()
	}
	return ws, err
}

func (m *Mesh) lookupPeer(id string) (fleet.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.peers[id]
	return h, ok
}
