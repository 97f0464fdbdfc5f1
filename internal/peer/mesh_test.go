package peer_test

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/peer"
)

type result struct {
	err  error
	text string
}

// requestAsync sends a request from a node to a raw peer. It returns the request's id as the raw peer received it, and
// a channel for the result.
func requestAsync(ctx context.Context, n *node, p *rawPeer, host string) (uint64, <-chan result) {
	p.t.Helper()
	got := make(chan result, 1)
	go func() {
		reply, err := n.mesh.Request(ctx, host, statusRequest("x"))
		r := result{err: err}
		if err == nil {
			r.text = string(reply.StatusReply.Status)
		}
		got <- r
	}()
	return p.nextRequestID(), got
}

// TestUnresponsiveConnectionIsReplaced guards against a connection that stays in use after it stops carrying data
// without an error.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	a, b := newNode(t, "a", "z"), newNode(t, "b", "z")
	proxy, err := fake.NewProxy(b.address, 1)
	assert.NilError(t, err)
	t.Cleanup(proxy.Stop)
	a.mesh.SetPeers([]fleet.Host{b.hostRecord(proxy.Address())})
	waitUntil(t, "connected", func() bool { return a.isConnected("b") && b.isConnected("a") })
	closed := expvar.Get("peer_silent_connections_closed").(*expvar.Int)
	before := closed.Value()
	proxy.Blackhole()
	waitUntil(t, "the unresponsive connection is closed", func() bool { return closed.Value() > before })
	waitUntil(t, "a new connection carries requests both ways", func() bool {
		fromB, err := a.request(t, "b", "1")
		fromA, err2 := b.request(t, "a", "2")
		return err == nil && err2 == nil && fromB == "b 1" && fromA == "a 2"
	})
}

// TestMissingHelloIsRedialled guards against a peer that accepts a connection, sends no hello and is never dialled
// again.
func TestMissingHelloIsRedialled(t *testing.T) {
	a, b := newNode(t, "a", "z"), newNode(t, "b", "z")
	var dials atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if dials.Add(1) > 1 {
			b.mesh.ServeHTTP(w, r)
			return
		}
		if ws, err := websocket.Accept(w, r, nil); err == nil {
			_, _, _ = ws.Read(r.Context())
			<-r.Context().Done()
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	a.mesh.SetPeers([]fleet.Host{b.hostRecord(strings.TrimPrefix(server.URL, "http://"))})
	waitUntil(t, "connected after a redial", func() bool { return a.isConnected("b") })
}

// TestReplyMatchesItsRequest guards against a reply that is delivered to another request.
func TestReplyMatchesItsRequest(t *testing.T) {
	n := newNode(t, "m", "z")
	x, y := dialRaw(t, n, "x"), dialRaw(t, n, "y")
	waitUntil(t, "both connected", func() bool { return n.isConnected("x") && n.isConnected("y") })
	reply := func(p *rawPeer, id uint64, text string) {
		m := statusReply(text)
		m.ID, m.Reply = id, true
		p.send(m)
	}

	// A reply to a cancelled request must not be delivered to the next request.
	ctx, cancel := context.WithCancel(t.Context())
	cancelledID, cancelled := requestAsync(ctx, n, x, "x")
	cancel()
	assert.ErrorIs(t, (<-cancelled).err, context.Canceled)

	id, got := requestAsync(t.Context(), n, x, "x")
	reply(x, cancelledID, "late")
	reply(x, id+1000, "of no request")
	reply(y, id, "of another host")
	otherID, gotOther := requestAsync(t.Context(), n, y, "y")
	reply(y, otherID, "y's own")
	assert.Equal(t, (<-gotOther).text, "y's own") // y's mismatched reply was read before this one
	reply(x, id, "x's own")
	reply(x, id, "again")
	assert.Equal(t, (<-got).text, "x's own")
	id, got = requestAsync(t.Context(), n, x, "x")
	reply(x, id, "next")
	assert.Equal(t, (<-got).text, "next")
}

// TestRequestFailsWhenConnectionEnds guards against a request that keeps waiting after its connection has ended.
func TestRequestFailsWhenConnectionEnds(t *testing.T) {
	for name, end := range map[string]func(*rawPeer){
		"closed":          func(p *rawPeer) { _ = p.ws.Close(websocket.StatusNormalClosure, "") },
		"broken":          func(p *rawPeer) { _ = p.ws.CloseNow() },
		"malformed frame": func(p *rawPeer) { _ = p.ws.Write(p.t.Context(), websocket.MessageBinary, []byte{0xff}) },
		"replaced":        func(p *rawPeer) { dialRaw(p.t, p.to, "x") },
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t, "m", "z")
			x := dialRaw(t, n, "x")
			waitUntil(t, "connected", func() bool { return n.isConnected("x") })
			_, got := requestAsync(t.Context(), n, x, "x")
			end(x)
			assert.ErrorIs(t, (<-got).err, peer.ErrNotConnected)
		})
	}
}

// TestUnexpectedPeerIDIsRejected guards against messages that are sent to a host other than the addressed one.
func TestUnexpectedPeerIDIsRejected(t *testing.T) {
	t.Run("dialled", func(t *testing.T) {
		a, b, impostor := newNode(t, "a", "z"), newNode(t, "b", "z"), newNode(t, "c", "z")
		a.mesh.SetPeers([]fleet.Host{b.hostRecord(impostor.address)})
		waitUntil(t, "dialled again", func() bool { return impostor.accepted.Load() > 1 })
		assert.Equal(t, len(a.mesh.Connected()), 0)
		_, err := a.request(t, "b", "1")
		assert.ErrorIs(t, err, peer.ErrNotConnected)
		assert.ErrorIs(t, a.mesh.Send("b", statusRequest("1")), peer.ErrNotConnected)
	})
	for name, id := range map[string]string{"claims the node's own id": "a", "has no id": ""} {
		t.Run(name, func(t *testing.T) {
			a := newNode(t, "a", "z")
			p := dialRaw(t, a, id)
			for {
				// The node must close the connection; its own hello may arrive before that.
				if _, _, err := p.ws.Read(t.Context()); err != nil {
					break
				}
				assert.Equal(t, len(a.mesh.Connected()), 0)
			}
		})
	}
}

// TestSlowReaderIsDisconnected guards against a send queue that grows without bound because the peer does not read.
func TestSlowReaderIsDisconnected(t *testing.T) {
	n := newNode(t, "m", "z")
	dialRaw(t, n, "x")
	waitUntil(t, "connected", func() bool { return n.isConnected("x") })
	big := statusReply(strings.Repeat("x", 64<<10))
	var err error
	for i := 0; i < 10_000 && err == nil; i++ {
		err = n.mesh.Send("x", big)
	}
	assert.ErrorIs(t, err, peer.ErrNotConnected)
	waitUntil(t, "cut", func() bool { return !n.isConnected("x") })
}

// TestPairKeepsOneConnection guards against two hosts that dial each other and keep replacing each other's connections.
func TestPairKeepsOneConnection(t *testing.T) {
	for name, zone := range map[string]string{"in a zone": "z1", "across zones": "z2"} {
		t.Run(name, func(t *testing.T) {
			a, b := newNode(t, "a", "z1"), newNode(t, "b", zone)
			a.mesh.SetPeers([]fleet.Host{b.hostRecord(b.address)})
			b.mesh.SetPeers([]fleet.Host{a.hostRecord(a.address)})
			waitUntil(t, "connected", func() bool { return a.isConnected("b") && b.isConnected("a") })
			failures := 0
			for range 100 { // 2 s, longer than several redial delays
				for _, pair := range [][2]*node{{a, b}, {b, a}} {
					if _, err := pair[0].request(t, pair[1].id, "1"); errors.Is(err, peer.ErrNotConnected) {
						failures++
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			// Both hosts may dial at the same time at first, which closes one of the two connections.
			assert.Assert(t, a.accepted.Load()+b.accepted.Load() <= 2, "%d and %d", a.accepted.Load(), b.accepted.Load())
			assert.Assert(t, failures <= 1, "%d requests lost their connection", failures)
		})
	}
}

// TestPeerIsDialledAtNewAddress guards against a peer that is dialled at its old address after its address changed.
func TestPeerIsDialledAtNewAddress(t *testing.T) {
	a, b := newNode(t, "a", "z"), newNode(t, "b", "z")
	var dials atomic.Int64
	oldServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		dials.Add(1)
		w.WriteHeader(http.StatusNotFound)
	}))
	t.Cleanup(oldServer.Close)
	a.mesh.SetPeers([]fleet.Host{b.hostRecord(strings.TrimPrefix(oldServer.URL, "http://"))})
	waitUntil(t, "dialled at the old address", func() bool { return dials.Load() > 0 })
	a.mesh.SetPeers([]fleet.Host{b.hostRecord(b.address)})
	waitUntil(t, "connected at the new address", func() bool { return a.isConnected("b") })
}

// TestRestartedPeerReplacesItsConnection guards against a host that keeps the connection of a peer's previous process
// after the peer has restarted.
func TestRestartedPeerReplacesItsConnection(t *testing.T) {
	n := newNode(t, "m", "z")
	first := dialRaw(t, n, "x")
	waitUntil(t, "connected", func() bool { return n.isConnected("x") })
	second := dialRaw(t, n, "x")
	for {
		if _, _, err := first.ws.Read(t.Context()); err != nil {
			break
		}
	}
	id, got := requestAsync(t.Context(), n, second, "x")
	m := statusReply("fresh")
	m.ID, m.Reply = id, true
	second.send(m)
	assert.Equal(t, (<-got).text, "fresh")
}
