package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// acceptTimeout bounds the attempts to record a job at one host. A caller that is refused after a second host was
	// asked gets to know before a quarter of most objectives has passed.
	acceptTimeout = 450 * time.Millisecond
	// resolveTimeout is how much longer a write whose answer was lost is resolved: until then neither an acceptance
	// nor a refusal is true.
	resolveTimeout = 1500 * time.Millisecond
	// storeCall bounds one call to the store: fifty times its usual 4 ms, and a lost packet.
	storeCall = 400 * time.Millisecond
	// retryAfter is when refused callers may come back.
	retryAfter      = time.Second
	noticeTimeout   = 400 * time.Millisecond
	relayTimeout    = 500 * time.Millisecond
	firstWritePause = 20 * time.Millisecond
	maxWritePause   = 200 * time.Millisecond
)

// Submit records a job and tells the owner of its shard.
func (h *Host) Submit(ctx context.Context, j workflow.Job) Answer {
	if err := j.Check(); err != nil {
		return h.decided("submit", j.ID, j.Queue, Answer{Outcome: OutcomeInvalid, Reason: err.Error()})
	}
	if at, ok := h.known.get(j.ID); ok {
		return h.decided("submit", j.ID, j.Queue, Answer{Outcome: OutcomeAccepted, Reason: "accepted before", State: at.State})
	}
	shard, ok := h.chooseShard(ctx, j)
	if !ok {
		return h.decided("submit", j.ID, j.Queue, Answer{Outcome: OutcomeRefused, Reason: "no shard exists yet", RetryAfter: retryAfter})
	}
	started := time.Now()
	j.AcceptedAt = started.UnixMilli()
	a, at := h.accept(ctx, j, shard)
	recordTime.Observe(time.Since(started))
	if a.Outcome == OutcomeAccepted {
		h.known.put(j.ID, at)
		if at.State == "" {
			go h.notice(at.Shard, peer.Message{JobSubmit: &peer.JobSubmit{Accepted: true, Job: workflow.Encode(j), Shard: at.Shard}}, func() bool {
				return h.owners.add(at.Shard, j)
			})
		}
	}
	return h.decided("submit", j.ID, j.Queue, a)
}

// accept records a job, by a peer if the store does not answer this host. Hosts write under the same guard, so a write
// of this host that takes effect late finds the job on record. After a write with an unknown outcome the job is accepted
// or its fate is unknown, but it is not refused.
func (h *Host) accept(ctx context.Context, j workflow.Job, shard int) (Answer, workflow.Placed) {
	unknown := false
	a, at := Answer{Outcome: OutcomeRefused, Reason: "the store does not answer", RetryAfter: retryAfter}, workflow.Placed{Shard: shard}
	for _, try := range []func() (Answer, workflow.Placed){
		func() (Answer, workflow.Placed) {
			if !h.session.isHealthy() {
				return a, at
			}
			return h.record(ctx, j, shard, acceptTimeout)
		},
		func() (Answer, workflow.Placed) { return h.relaySubmit(ctx, j, shard, a) },
		func() (Answer, workflow.Placed) {
			if !unknown {
				return a, at
			}
			return h.record(ctx, j, shard, resolveTimeout)
		},
	} {
		a, at = try()
		if a.Outcome == OutcomeAccepted {
			return a, at
		}
		unknown = unknown || a.Outcome == OutcomeUnknown
	}
	if unknown {
		a.Outcome = OutcomeUnknown
	}
	return a, at
}

// record writes a job that is not on record yet. A refusal is certain: the write never takes effect.
func (h *Host) record(ctx context.Context, j workflow.Job, shard int, limit time.Duration) (Answer, workflow.Placed) {
	placed := workflow.Placed{Shard: shard}
	t := kvstore.Txn{
		Guards: []kvstore.Guard{{Key: placedKey(j.ID)}},
		Puts: []kvstore.Put{
			{Key: placedKey(j.ID), Value: workflow.Encode(placed)},
			{Key: jobKey(shard, j.ID), Value: workflow.Encode(j)},
		},
	}
	res, err := h.write(ctx, t, limit)
	switch {
	case err == nil:
		return Answer{Outcome: OutcomeAccepted, Reason: "recorded"}, placed
	case errors.Is(err, kvstore.ErrConflict):
		for _, kv := range res.Current {
			if at, err := workflow.Decode[workflow.Placed](kv.Value); err == nil && kv.ModRevision != 0 {
				return Answer{Outcome: OutcomeAccepted, Reason: "on record", State: at.State}, at
			}
		}
		return Answer{Outcome: OutcomeUnknown, Reason: "record can't be read"}, placed
	case errors.Is(err, kvstore.ErrUnknownOutcome):
		return Answer{Outcome: OutcomeUnknown, Reason: err.Error()}, placed
	}
	return Answer{Outcome: OutcomeRefused, Reason: err.Error(), RetryAfter: retryAfter}, placed
}

// write carries out a transaction whose guards make a repetition harmless, again and again until its outcome is known
// or the limit has passed.
// An error that matches kvstore.ErrUnavailable says that no attempt took effect or will.
func (h *Host) write(ctx context.Context, t kvstore.Txn, limit time.Duration) (kvstore.TxnResult, error) {
	backoff := retry.NewBackoff(firstWritePause, maxWritePause, uint64(h.random(1<<30)))
	started, unknown := time.Now(), false
	for try := 1; ; try++ {
		call, cancel := context.WithTimeout(ctx, storeCall)
		res, err := h.platform.Store.Txn(call, t)
		cancel()
		countWrite(err)
		unknown = unknown || errors.Is(err, kvstore.ErrUnknownOutcome)
		switch {
		case err == nil, errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrTooLarge),
			errors.Is(err, kvstore.ErrRejected):
			return res, err
		case time.Since(started) > limit || ctx.Err() != nil:
			if unknown {
				return res, kvstore.ErrUnknownOutcome
			}
			return res, err
		}
		retry.Sleep(ctx, backoff.Pause(try, firstWritePause))
	}
}

func countWrite(err error) {
	storeWrites.Add(1)
	switch {
	case errors.Is(err, kvstore.ErrConflict):
		storeConflicts.Add(1)
	case err != nil:
		storeFailures.Add(1)
	}
}

// relaySubmit lets another host record a job that this one can't, since the store turns it away or is out of reach.
func (h *Host) relaySubmit(ctx context.Context, j workflow.Job, shard int, refusal Answer) (Answer, workflow.Placed) {
	placed := workflow.Placed{Shard: shard}
	reply, err := h.relay(ctx, shard, peer.Message{JobSubmit: &peer.JobSubmit{Job: workflow.Encode(j), Shard: shard}})
	switch {
	case err != nil && errors.Is(err, peer.ErrNotConnected):
		return refusal, placed
	case err != nil:
		return Answer{Outcome: OutcomeUnknown, Reason: "relay: " + err.Error()}, placed
	}
	a := Answer{Outcome: Outcome(reply.Outcome), Reason: "relayed", State: workflow.State(reply.State)}
	if a.Outcome == OutcomeRefused {
		a.RetryAfter = retryAfter
	}
	placed.Shard, placed.State = reply.Shard, a.State
	return a, placed
}

// relay asks the owner of the shard, or else another host, to do what this host can't. An error that matches
// peer.ErrNotConnected says that nobody was asked.
func (h *Host) relay(ctx context.Context, shard int, msg peer.Message) (peer.JobReply, error) {
	var candidates []string
	if o, ok := h.directory.owner(shard); ok && o.Run != h.self.Run {
		candidates = append(candidates, o.Peer)
	}
	if peers := h.directory.peers(h.self); len(peers) > 0 {
		candidates = append(candidates, peers[h.random(len(peers))].Peer)
	}
	err := error(peer.ErrNotConnected)
	for _, address := range candidates {
		call, cancel := context.WithTimeout(ctx, relayTimeout+storeCall)
		var m peer.Message
		m, err = h.pool.Request(call, address, msg)
		cancel()
		if err == nil && m.JobReply != nil {
			return *m.JobReply, nil
		}
		if !errors.Is(err, peer.ErrNotConnected) {
			return peer.JobReply{}, err
		}
	}
	return peer.JobReply{}, err
}

// notice tells the owner of a shard what is on record. It is only a hint: the owner also follows the records.
func (h *Host) notice(shard int, msg peer.Message, local func() bool) {
	if local() {
		return
	}
	o, ok := h.directory.owner(shard)
	if !ok || o.Run == h.self.Run {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	if _, err := h.pool.Request(ctx, o.Peer, msg); err != nil {
		h.log.WithError(err).WithFields(logrus.Fields{"shard": shard, "owner": o.Host}).Debug("owner was not told; it reads the record")
	}
}

// decided logs the answer to a caller.
func (h *Host) decided(decision, id, queue string, a Answer) Answer {
	answers.Add(decision+"_"+string(a.Outcome), 1)
	f := logrus.Fields{
		"decision": decision, "job": id, "queue": queue, "outcome": string(a.Outcome), "reason": a.Reason,
		"config": h.config.config().Version,
	}
	if a.State != "" {
		f["state"] = string(a.State)
	}
	if a.Outcome == OutcomeRefused || a.Outcome == OutcomeUnknown {
		h.log.WithFields(f).Warn("request is answered")
	} else {
		h.log.WithFields(f).Info("request is answered")
	}
	return a
}
