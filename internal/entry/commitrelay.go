package entry

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
)

const (
	// ownAttempts is the number of attempts of the owner before it asks a peer. The second one mostly resolves a lost response.
	ownAttempts = 2
	// maxRelayedBytes limits the values of a transaction that a peer is asked to carry out, and those of its reply: a longer message
	// than 4 MiB would end the connection.
	maxRelayedBytes = kvstore.MaxValueBytes
	// outcomeConflict is the outcome of a relayed transaction whose guards did not hold.
	outcomeConflict Outcome = "conflict"
)

// errUnguardedRecords is returned for records that a host could write after it has lost its shard.
var errUnguardedRecords = eris.New("records are not guarded by an owner key")

// commitRelay chooses the peers that write records for this host while the store refuses to.
type commitRelay struct {
	// lastWriter is the address of the peer that carried out a transaction last; empty once it failed to.
	lastWriter string
	mu         sync.Mutex
	// turn is the number of peers that were chosen in turn; it begins at random, so that owners begin with different peers.
	turn int
}

// next returns the peer that carried out a transaction last if it is among the peers, which must not be empty, or else the one whose
// turn it is.
func (c *commitRelay) next(peers []hostRecord) hostRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.IndexFunc(peers, func(p hostRecord) bool { return p.PeerAddress == c.lastWriter }); i >= 0 {
		return peers[i]
	}
	c.turn++
	return peers[c.turn%len(peers)]
}

func (c *commitRelay) record(address string, isAnswered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isAnswered {
		c.lastWriter = address
	} else if c.lastWriter == address {
		c.lastWriter = ""
	}
}

// attemptWrite makes one attempt to carry out a transaction of records, of which failures attempts have failed before. A peer
// makes the third one and then every second one: the store may turn single machines away while it renews their leases now and then,
// and the shard's tasks would not be started for as long. An attempt by a peer takes the place of an own one, so the store gets no
// more calls than before if it refuses those of all hosts. Peers make no more of them, since an attempt waits for the processors of
// two hosts, which delays the first write when the store is back.
func (r *runner) attemptWrite(t kvstore.Txn, failures int) (kvstore.TxnResult, error) {
	if failures >= ownAttempts && (failures-ownAttempts)%2 == 0 {
		w := encodeRecords(t)
		if peers := r.host.directory.peers(r.host.self); len(peers) > 0 && valueBytes(w.Puts) <= maxRelayedBytes {
			return r.writeThroughPeer(w, r.host.commitRelay.next(peers))
		}
	}
	ctx, cancel := withTimeout(r.ctx, storeCallTimeout)
	defer cancel()
	res, err := r.host.platform.Store.Txn(ctx, t)
	countWrite(err)
	return res, err
}

func valueBytes(records []peer.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Value)
	}
	return n
}

// writeThroughPeer asks a peer to carry out a transaction of records. The guard on the owner key makes it harmless if it is carried
// out late or twice, as it does for an own attempt whose response is lost.
func (r *runner) writeThroughPeer(w *peer.RecordsWrite, p hostRecord) (kvstore.TxnResult, error) {
	ctx, cancel := context.WithTimeout(r.ctx, relayTimeout)
	defer cancel()
	reply, err := r.host.request(ctx, p.PeerAddress, peer.Message{RecordsWrite: w})
	outcome, res := OutcomeUnknown, kvstore.TxnResult{}
	switch {
	case errors.Is(err, peer.ErrNotConnected), errors.Is(err, peer.ErrRefused):
		outcome = OutcomeRefused
	case err == nil && reply.RecordsReply != nil:
		outcome, res = Outcome(reply.RecordsReply.Outcome), decodeResult(*reply.RecordsReply)
	}
	commitRelays.Add(string(outcome), 1)
	r.host.commitRelay.record(p.PeerAddress, outcome == OutcomeAccepted || outcome == outcomeConflict)
	entry := r.log.WithFields(logrus.Fields{
		"decision": "commit_relay", "peer": p.Host, "outcome": string(outcome), "records": len(w.Puts),
	})
	switch outcome {
	case OutcomeAccepted:
		entry.Info("a peer wrote job records, which the store did not write for this host")
		return res, nil
	case outcomeConflict:
		entry.Info("a peer found job records changed, which the store did not write for this host")
		return res, kvstore.ErrConflict
	case OutcomeRefused:
		return res, eris.Wrapf(kvstore.ErrUnavailable, "through %s", p.Host)
	}
	return res, eris.Wrapf(kvstore.ErrUnknownOutcome, "through %s", p.Host)
}

// handleRecordsWrite carries out a transaction of records for the owner of a shard. It makes one attempt, since the owner repeats the
// transaction itself.
func (h *Host) handleRecordsWrite(ctx context.Context, w peer.RecordsWrite) (peer.Message, error) {
	if len(w.Guards) == 0 || !strings.HasPrefix(w.Guards[0].Key, ownerPrefix) {
		return peer.Message{}, errUnguardedRecords
	}
	if !h.session.isHealthy() {
		return peer.Message{RecordsReply: &peer.RecordsReply{Outcome: string(OutcomeRefused)}}, nil
	}
	ctx, cancel := withTimeout(ctx, storeCallTimeout)
	defer cancel()
	res, err := h.platform.Store.Txn(ctx, decodeRecords(w))
	countWrite(err)
	reply := encodeResult(res)
	switch {
	case err == nil:
		reply.Outcome = string(OutcomeAccepted)
	case errors.Is(err, kvstore.ErrConflict) && valueBytes(reply.Current) <= maxRelayedBytes:
		reply.Outcome = string(outcomeConflict)
	case errors.Is(err, kvstore.ErrUnknownOutcome):
		reply = &peer.RecordsReply{Outcome: string(OutcomeUnknown)}
	default:
		reply = &peer.RecordsReply{Outcome: string(OutcomeRefused)}
	}
	return peer.Message{RecordsReply: reply}, nil
}

func encodeRecords(t kvstore.Txn) *peer.RecordsWrite {
	w := &peer.RecordsWrite{Deletes: t.Deletes}
	for _, g := range t.Guards {
		w.Guards = append(w.Guards, peer.Record{Key: g.Key, Revision: g.Revision})
	}
	for _, p := range t.Puts {
		w.Puts = append(w.Puts, peer.Record{Key: p.Key, Value: p.Value})
	}
	return w
}

func decodeRecords(w peer.RecordsWrite) kvstore.Txn {
	t := kvstore.Txn{Deletes: w.Deletes}
	for _, g := range w.Guards {
		t.Guards = append(t.Guards, kvstore.Guard{Key: g.Key, Revision: g.Revision})
	}
	for _, p := range w.Puts {
		t.Puts = append(t.Puts, kvstore.Put{Key: p.Key, Value: p.Value})
	}
	return t
}

func encodeResult(res kvstore.TxnResult) *peer.RecordsReply {
	r := &peer.RecordsReply{Revision: res.Revision}
	for _, kv := range res.Current {
		r.Current = append(r.Current, peer.Record{Key: kv.Key, Revision: kv.ModRevision, Value: kv.Value})
	}
	return r
}

func decodeResult(r peer.RecordsReply) kvstore.TxnResult {
	res := kvstore.TxnResult{Revision: r.Revision}
	for _, kv := range r.Current {
		res.Current = append(res.Current, kvstore.KV{Key: kv.Key, ModRevision: kv.Revision, Value: kv.Value})
	}
	return res
}
