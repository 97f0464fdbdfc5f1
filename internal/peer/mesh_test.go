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

type answer struct {
	err  error
	text string
}

// askAsync sends a request and returns its id at the raw peer and where its end will be told.
func askAsync(ctx context.Context, n *node, p *rawPeer, host string) (uint64, <-chan answer) {
	p.t.Helper()
	got := make(chan answer, 1)
	go func() {
		reply, err := n.mesh.Request(ctx, host, statusRequest("x"))
		a := answer{err: err}
		if err == nil {
			a.text = string(reply.StatusReply.Status)
		}
		got <- a
	}()
	return p.nextRequest(), got
}

// TestSilentConnectionIsReplaced guards against a connection that stays in use after it went silent for good.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := newNode(t, "a", "z"), newNode(t, "b", "z")
	proxy, err := fake.NewProxy(b.address, 1)
	assert.NilError(t, err)
	t.Cleanup(proxy.Stop)
	a.mesh.SetPeers([]fleet.Host{b.at(proxy.Address())})
	until(t, "connected", func() bool { return a.isConnected("b") && b.isConnected("a") })
	closed := expvar.Get("peer_silent_connections_closed").(*expvar.Int)
	before := closed.Value()
	proxy.Silence()
	until(t, "the silent connection is found", func() bool { return closed.Value() > before })
	until(t, "a fresh connection carries requests both ways", func() bool {
		there, err := a.ask(t, "b", "1")
		back, err2 := b.ask(t, "a", "2")
		return err == nil && err2 == nil && there == "b 1" && back == "a 2"
	})
}

// TestSilenceBeforeHelloIsReplaced guards against a peer that accepts a connection, says nothing and is never
// dialled again.
func TestSilenceBeforeHelloIsReplaced(t *testing.T) {
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
	a.mesh.SetPeers([]fleet.Host{b.at(strings.TrimPrefix(server.URL, "http://"))})
	until(t, "connected by another connection", func() bool { return a.isConnected("b") })
}

// TestReplyMatchesItsRequest guards against a reply that reaches another request.
func TestReplyMatchesItsRequest(t *testing.T) {
	n := newNode(t, "m", "z")
	x, y := dialRaw(t, n, "x"), dialRaw(t, n, "y")
	until(t, "both connected", func() bool { return n.isConnected("x") && n.isConnected("y") })
	reply := func(p *rawPeer, id uint64, text string) {
		m := statusReply(text)
		m.ID, m.Reply = id, true
		p.send(m)
	}

	// The caller gives up on a request; its late reply must not answer the next one.
	ctx, cancel := context.WithCancel(t.Context())
	late, gone := askAsync(ctx, n, x, "x")
	cancel()
	assert.ErrorIs(t, (<-gone).err, context.Canceled)

	id, got := askAsync(t.Context(), n, x, "x")
	reply(x, late, "late")
	reply(x, id+1000, "of no request")
	reply(y, id, "of another host")
	other, gotOther := askAsync(t.Context(), n, y, "y")
	reply(y, other, "y's own")
	assert.Equal(t, (<-gotOther).text, "y's own") // y's stray reply has been read by now
	reply(x, id, "x's own")
	reply(x, id, "again")
	assert.Equal(t, (<-got).text, "x's own")
	id, got = askAsync(t.Context(), n, x, "x")
	reply(x, id, "next")
	assert.Equal(t, (<-got).text, "next")
}

// TestRequestEndsWithItsConnection guards against a caller that waits for a connection that has ended.
func TestRequestEndsWithItsConnection(t *testing.T) {
	for name, end := range map[string]func(*rawPeer){
		"closed":          func(p *rawPeer) { _ = p.ws.Close(websocket.StatusNormalClosure, "") },
		"broken":          func(p *rawPeer) { _ = p.ws.CloseNow() },
		"malformed frame": func(p *rawPeer) { _ = p.ws.Write(p.t.Context(), websocket.MessageBinary, []byte{0xff}) },
		"replaced":        func(p *rawPeer) { dialRaw(p.t, p.to, "x") },
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t, "m", "z")
			x := dialRaw(t, n, "x")
			until(t, "connected", func() bool { return n.isConnected("x") })
			_, got := askAsync(t.Context(), n, x, "x")
			end(x)
			assert.ErrorIs(t, (<-got).err, peer.ErrNotConnected)
		})
	}
}

// TestOtherIdentityIsRefused guards against messages that go to a host that is not the one meant.
func TestOtherIdentityIsRefused(t *testing.T) {
	t.Run("dialled", func(t *testing.T) {
		a, b, impostor := newNode(t, "a", "z"), newNode(t, "b", "z"), newNode(t, "c", "z")
		a.mesh.SetPeers([]fleet.Host{b.at(impostor.address)})
		until(t, "dialled again", func() bool { return impostor.accepted.Load() > 1 })
		assert.Equal(t, len(a.mesh.Connected()), 0)
		_, err := a.ask(t, "b", "1")
		assert.ErrorIs(t, err, peer.ErrNotConnected)
		assert.ErrorIs(t, a.mesh.Send("b", statusRequest("1")), peer.ErrNotConnected)
	})
	for name, id := range map[string]string{"claims the own id": "a", "has no id": ""} {
		t.Run(name, func(t *testing.T) {
			a := newNode(t, "a", "z")
			p := dialRaw(t, a, id)
			for {
				// The connection must end; the node's hello may come first.
				if _, _, err := p.ws.Read(t.Context()); err != nil {
					break
				}
				assert.Equal(t, len(a.mesh.Connected()), 0)
			}
		})
	}
}

// TestSlowReaderIsCut guards against a peer that does not read and fills the memory.
func TestSlowReaderIsCut(t *testing.T) {
	n := newNode(t, "m", "z")
	dialRaw(t, n, "x")
	until(t, "connected", func() bool { return n.isConnected("x") })
	big := statusReply(strings.Repeat("x", 64<<10))
	var err error
	for i := 0; i < 10_000 && err == nil; i++ {
		err = n.mesh.Send("x", big)
	}
	assert.ErrorIs(t, err, peer.ErrNotConnected)
	until(t, "cut", func() bool { return !n.isConnected("x") })
}

// TestPairKeepsOneConnection guards against a pair whose hosts replace each other's connections without end.
func TestPairKeepsOneConnection(t *testing.T) {
	for name, zone := range map[string]string{"in a zone": "z1", "across zones": "z2"} {
		t.Run(name, func(t *testing.T) {
			a, b := newNode(t, "a", "z1"), newNode(t, "b", zone)
			a.mesh.SetPeers([]fleet.Host{b.at(b.address)})
			b.mesh.SetPeers([]fleet.Host{a.at(a.address)})
			until(t, "connected", func() bool { return a.isConnected("b") && b.isConnected("a") })
			ends := 0
			for range 100 { // longer than several redial pauses
				for _, pair := range [][2]*node{{a, b}, {b, a}} {
					if _, err := pair[0].ask(t, pair[1].id, "1"); errors.Is(err, peer.ErrNotConnected) {
						ends++
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			// Both may have dialled at once at first, which ends one connection.
			assert.Assert(t, a.accepted.Load()+b.accepted.Load() <= 2, "%d and %d", a.accepted.Load(), b.accepted.Load())
			assert.Assert(t, ends <= 1, "%d requests lost their connection", ends)
		})
	}
}

// TestMovedPeerIsDialledAnew guards against a host that is dialled for ever at an address that it has left.
func TestMovedPeerIsDialledAnew(t *testing.T) {
	a, b := newNode(t, "a", "z"), newNode(t, "b", "z")
	var dials atomic.Int64
	left := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		dials.Add(1)
		w.WriteHeader(http.StatusNotFound)
	}))
	t.Cleanup(left.Close)
	a.mesh.SetPeers([]fleet.Host{b.at(strings.TrimPrefix(left.URL, "http://"))})
	until(t, "dialled at the old address", func() bool { return dials.Load() > 0 })
	a.mesh.SetPeers([]fleet.Host{b.at(b.address)})
	until(t, "connected at the new address", func() bool { return a.isConnected("b") })
}

// TestRestartedPeerReplacesItsConnection guards against a host that counts a former process as connected.
func TestRestartedPeerReplacesItsConnection(t *testing.T) {
	n := newNode(t, "m", "z")
	old := dialRaw(t, n, "x")
	until(t, "connected", func() bool { return n.isConnected("x") })
	fresh := dialRaw(t, n, "x")
	for {
		if _, _, err := old.ws.Read(t.Context()); err != nil {
			break
		}
	}
	id, got := askAsync(t.Context(), n, fresh, "x")
	m := statusReply("fresh")
	m.ID, m.Reply = id, true
	fresh.send(m)
	assert.Equal(t, (<-got).text, "fresh")
}
