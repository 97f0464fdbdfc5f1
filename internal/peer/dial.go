package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// dialMissing opens connections that are wanted. Inside a zone the host with the lower id dials, so that
// a pair does not open two; across zones the host that wants the connection dials.
func (m *Mesh) dialMissing(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, h := range m.peers {
		if m.conns[id] != nil || m.dialing[id] || (h.Zone == m.self.Zone && id < m.self.Host) {
			continue
		}
		m.dialing[id] = true
		go m.dial(ctx, id)
	}
}

// dial keeps trying to connect to a host at its present address until there is a connection, whoever opened it.
func (m *Mesh) dial(ctx context.Context, id string) {
	defer func() {
		m.mu.Lock()
		delete(m.dialing, id)
		m.mu.Unlock()
	}()
	wait := redialMinimum
	for ctx.Err() == nil && m.conn(id) == nil {
		h, ok := m.wanted(id)
		if !ok {
			return
		}
		started := time.Now()
		ws, err := m.open(ctx, h)
		if err == nil {
			m.serve(ctx, ws, h.ID)
		}
		if time.Since(started) > redialMaximum {
			wait = redialMinimum
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, redialMaximum)
	}
}

func (m *Mesh) open(ctx context.Context, h fleet.Host) (*websocket.Conn, error) {
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

func (m *Mesh) wanted(id string) (fleet.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.peers[id]
	return h, ok
}
