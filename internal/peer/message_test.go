package peer_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/peer"
)

// TestHeartbeatSize guards against heartbeats that use up a host's budget of 3 KB/s for control traffic. A host sends
// one heartbeat per second to each of the 7 peers of its zone and one every 3 s on each of 28 links to other zones.
func TestHeartbeatSize(t *testing.T) {
	for _, tc := range []struct{ owned, maxBytes int }{{0, 32}, {1, 64}, {2, 96}} {
		hb := peer.Heartbeat{Revision: 123_456}
		for i := range tc.owned {
			hb.Owned = append(hb.Owned, peer.OwnedShard{
				Epoch: 70_000, FreePercent: 100, Index: 60 + i, ServesKeys: true, Zone: "kadawatha",
			})
		}
		frame, err := cbor.Marshal(peer.Message{Heartbeat: &hb})
		assert.NilError(t, err)
		t.Logf("%d owned shards: %d bytes", tc.owned, len(frame))
		assert.Assert(t, len(frame) <= tc.maxBytes, "%d owned shards: %d bytes", tc.owned, len(frame))
	}
}

// FuzzDecode guards against a panic on a malformed frame, and against a message that changes when it is encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range []peer.Message{
		{Hello: &peer.Hello{Host: "a", Incarnation: "a#1", Zone: "z"}},
		{Heartbeat: &peer.Heartbeat{Owned: []peer.OwnedShard{{Epoch: 1, Zone: "z"}}, Revision: 1}},
		{ID: 7, Notes: &peer.NotesRequest{After: 3}},
		{ID: 7, Reply: true, RefusedReason: "no"},
		{Handover: &peer.Handover{Epoch: 2, Keys: []byte("{}"), Zone: "z"}},
	} {
		frame, err := cbor.Marshal(m)
		assert.NilError(f, err)
		f.Add(frame)
	}
	f.Add([]byte{0xff})
	f.Add([]byte{0xa1, 0x62, 'h', 'b', 0x83, 0xf4, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := peer.Decode(frame)
		if err != nil {
			return
		}
		again, err := cbor.Marshal(m)
		assert.NilError(t, err)
		back, err := peer.Decode(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, back.ID, m.ID)
		assert.Equal(t, back.Reply, m.Reply)
	})
}
