package peer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/peer"
)

// testTimeout bounds the wait for a condition, far above the time that any of them needs.
const testTimeout = 30 * time.Second

// node is a mesh with an HTTP server for inbound connections.
type node struct {
	accepted atomic.Int64
	address  string
	id       string
	mesh     *peer.Mesh
	zone     string
}

// newNode starts a mesh that replies to each status request with its id and the requested job.
func newNode(t *testing.T, id, zone string) *node {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &node{id: id, zone: zone}
	n.mesh = peer.NewMesh(peer.Hello{Host: id, Incarnation: id + "#1", Zone: zone}, logrus.NewEntry(log),
		peer.WithRequests(func(_ context.Context, _ peer.Hello, m peer.Message) (peer.Message, error) {
			return statusReply(id + " " + m.Status.Job), nil
		}))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.accepted.Add(1)
		n.mesh.ServeHTTP(w, r)
	}))
	n.address = strings.TrimPrefix(server.URL, "http://")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.mesh.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		server.Close()
	})
	return n
}

// hostRecord returns the node's record of the host list, with the given peer address.
func (n *node) hostRecord(address string) fleet.Host {
	return fleet.Host{ID: n.id, Kind: fleet.KindEntryHost, PeerAddress: address, Zone: n.zone}
}

func (n *node) isConnected(id string) bool {
	for _, s := range n.mesh.Connected() {
		if s.Host == id {
			return true
		}
	}
	return false
}

func (n *node) request(t *testing.T, host, job string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	reply, err := n.mesh.Request(ctx, host, statusRequest(job))
	if err != nil {
		return "", err
	}
	return string(reply.StatusReply.Status), nil
}

// rawPeer sends and reads single frames, so that tests can violate the protocol.
type rawPeer struct {
	t  *testing.T
	to *node
	ws *websocket.Conn
}

// dialRaw connects to a node and sends a hello with the given id.
func dialRaw(t *testing.T, to *node, id string) *rawPeer {
	t.Helper()
	ws, res, err := websocket.Dial(t.Context(), "ws://"+to.address+"/peer", nil)
	assert.NilError(t, err)
	if res.Body != nil {
		_ = res.Body.Close()
	}
	ws.SetReadLimit(8 << 20)
	p := &rawPeer{t: t, to: to, ws: ws}
	t.Cleanup(func() { _ = ws.CloseNow() })
	p.send(peer.Message{Hello: &peer.Hello{Host: id, Incarnation: id + "#1", Zone: to.zone}})
	return p
}

func (p *rawPeer) send(m peer.Message) {
	p.t.Helper()
	frame, err := cbor.Marshal(m)
	assert.NilError(p.t, err)
	assert.NilError(p.t, p.ws.Write(p.t.Context(), websocket.MessageBinary, frame))
}

// nextRequestID returns the id of the next request; it skips heartbeats and the hello.
func (p *rawPeer) nextRequestID() uint64 {
	p.t.Helper()
	for {
		_, frame, err := p.ws.Read(p.t.Context())
		assert.NilError(p.t, err)
		m, err := peer.Decode(frame)
		assert.NilError(p.t, err)
		if m.ID != 0 {
			return m.ID
		}
	}
}

func statusReply(text string) peer.Message {
	return peer.Message{StatusReply: &peer.StatusReply{Status: []byte(text)}}
}

func statusRequest(job string) peer.Message {
	return peer.Message{Status: &peer.StatusRequest{Job: job}}
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(20*time.Millisecond))
}
