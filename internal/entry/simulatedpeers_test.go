package entry_test

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/peer"
)

const (
	// messageCost is the processor time that a message to a peer takes on each of the two hosts.
	messageCost = 200 * time.Microsecond
	peerLatency = 4 * time.Millisecond
)

// encodeAndDecode returns a message as the receiver decodes it.
func (f *simulatedFleet) encodeAndDecode(m peer.Message) peer.Message {
	frame, err := cbor.Marshal(m)
	assert.Check(f.t, err == nil, "%v", err)
	out, err := peer.Decode(frame)
	assert.Check(f.t, err == nil, "%v", err)
	return out
}

// requestPeer sends a message to the host that has the address as its name. A host that is cut off does not reply.
func (h *simulatedHost) requestPeer(ctx context.Context, address string, m peer.Message) (peer.Message, error) {
	h.use(ctx, messageCost)
	if ctx.Err() != nil {
		return peer.Message{}, ctx.Err()
	}
	sleep(ctx, peerLatency/2)
	h.fleet.mu.Lock()
	to, peerDelay := h.fleet.hosts[address], h.fleet.peerDelay
	h.fleet.mu.Unlock()
	delay := time.Duration(0)
	if peerDelay != nil {
		delay = peerDelay(address, m)
	}
	sleep(ctx, delay)
	if to == nil || to.isCut.Load() || h.isCut.Load() || delay < 0 {
		<-ctx.Done()
		return peer.Message{}, ctx.Err()
	}
	to.use(ctx, messageCost)
	reply, err := to.daemon.HandlePeerMessage(ctx, h.fleet.encodeAndDecode(m))
	reply = h.fleet.encodeAndDecode(reply)
	sleep(ctx, peerLatency/2)
	if ctx.Err() != nil {
		return peer.Message{}, ctx.Err()
	}
	return reply, err
}

// setPeerDelay sets how much longer messages to a host take; a negative time means that they are lost.
func (f *simulatedFleet) setPeerDelay(delay func(to string, m peer.Message) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerDelay = delay
}
