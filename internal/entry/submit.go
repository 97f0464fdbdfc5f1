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
	// acceptTimeout bounds the attempts of one host to record a job. Even if two hosts try one after the other, a refused
	// caller then gets the answer within a quarter of the target completion time of most jobs.
	acceptTimeout = 450 * time.Millisecond
	// resolveTimeout is the additional time to find out the outcome of a write whose response was lost. While the outcome
	// is unknown, the job can be reported neither as accepted nor as refused.
	resolveTimeout = 1500 * time.Millisecond
	// storeCallTimeout bounds one call to the store: fifty times its usual latency of 4 ms, and a lost packet.
	storeCallTimeout = 400 * time.Millisecond
	// retryAfter is the delay after which refused callers may retry.
	retryAfter      = time.Second
	notifyTimeout   = 400 * time.Millisecond
	relayTimeout    = 500 * time.Millisecond
	minWriteBackoff = 20 * time.Millisecond
	maxWriteBackoff = 200 * time.Millisecond
)

// errRecordUnreadable means that the location of a job is absent or can't be decoded.
var errRecordUnreadable = errors.New("record can't be read")

// jobRecord is the location of a recorded job with the store revision of its record; the revision is 0 if it is not known. While
// the job has no final state, its location and the job itself are at the same revision, since one transaction wrote both.
type jobRecord struct {
	workflow.JobLocation
	revision int64
}

// Submit records a job and notifies the owner of its shard.
func (h *Host) Submit(ctx context.Context, j workflow.Job) Answer {
	if err := j.Check(); err != nil {
		return h.logAnswer("submit", j.ID, j.Queue, Answer{Outcome: OutcomeInvalid, Reason: err.Error()})
	}
	if location, ok := h.locations.get(j.ID); ok {
		return h.logAnswer("submit", j.ID, j.Queue, Answer{Outcome: OutcomeAccepted, Reason: "accepted before", State: location.State})
	}
	shard, d, ok := h.chooseShard(ctx, j)
	if !ok {
		return h.logAnswer("submit", j.ID, j.Queue, Answer{
			Outcome: OutcomeRefused, Reason: "no shard exists yet", RetryAfter: retryAfter,
		})
	}
	if d.IsRefused && h.isUnrecorded(ctx, j.ID) {
		return h.refuse(j, d)
	}
	started := time.Now()
	j.AcceptedAt = started.UnixMilli()
	a, record := h.recordOrRelay(ctx, j, shard)
	submitRecordTime.Observe(time.Since(started))
	if a.Outcome == OutcomeAccepted {
		h.locations.put(j.ID, record)
		if record.State == "" {
			go h.notifyOwner(record.Shard, peer.Message{
				JobSubmit: &peer.JobSubmit{Accepted: true, Job: workflow.Encode(j), Revision: record.revision, Shard: record.Shard},
			}, func() bool {
				return h.ownedShards.addJob(record.Shard, j, record.revision)
			})
		}
	}
	return h.logAnswer("submit", j.ID, j.Queue, a)
}

// recordOrRelay records a job, through a peer if this host can't write its records. All hosts write under the same guard, so a
// delayed write of this host has no effect once a peer has recorded the job. After a write with an unknown outcome the
// answer is accepted or unknown, never refused.
func (h *Host) recordOrRelay(ctx context.Context, j workflow.Job, shard int) (Answer, jobRecord) {
	unknown := false
	a, record := Answer{
		Outcome: OutcomeRefused, Reason: "the store does not answer", RetryAfter: retryAfter,
	}, jobRecord{JobLocation: workflow.JobLocation{Shard: shard}}
	for _, attempt := range []func() (Answer, jobRecord){
		func() (Answer, jobRecord) {
			if !h.session.isHealthy() {
				return a, record
			}
			return h.recordJob(ctx, j, shard, acceptTimeout)
		},
		func() (Answer, jobRecord) { return h.relaySubmit(ctx, j, shard, a) },
		func() (Answer, jobRecord) {
			if !unknown {
				return a, record
			}
			return h.recordJob(ctx, j, shard, resolveTimeout)
		},
	} {
		a, record = attempt()
		if a.Outcome == OutcomeAccepted {
			return a, record
		}
		unknown = unknown || a.Outcome == OutcomeUnknown
	}
	if unknown {
		a.Outcome = OutcomeUnknown
	}
	return a, record
}

// recordJob writes the records of a job unless they exist. A refusal means that the write will never take effect.
func (h *Host) recordJob(ctx context.Context, j workflow.Job, shard int, limit time.Duration) (Answer, jobRecord) {
	record := jobRecord{JobLocation: workflow.JobLocation{Shard: shard}}
	t := kvstore.Txn{
		Guards: []kvstore.Guard{{Key: locationKey(j.ID)}},
		Puts: []kvstore.Put{
			{Key: locationKey(j.ID), Value: workflow.Encode(record.JobLocation)},
			{Key: jobKey(shard, j.ID), Value: workflow.Encode(j)},
		},
	}
	res, err := h.writeWithRetry(ctx, t, limit)
	switch {
	case err == nil:
		return Answer{Outcome: OutcomeAccepted, Reason: "recorded"}, jobRecord{record.JobLocation, res.Revision}
	case errors.Is(err, kvstore.ErrConflict):
		existing, err := existingRecord(res.Current)
		switch {
		case err != nil:
			return Answer{Outcome: OutcomeUnknown, Reason: err.Error()}, record
		case existing.IsTombstone():
			return h.recordCancelledJob(ctx, j, shard, existing.revision, limit)
		}
		return Answer{Outcome: OutcomeAccepted, Reason: "on record", State: existing.State}, existing
	case errors.Is(err, kvstore.ErrUnknownOutcome):
		return Answer{Outcome: OutcomeUnknown, Reason: err.Error()}, record
	}
	return Answer{Outcome: OutcomeRefused, Reason: err.Error(), RetryAfter: retryAfter}, record
}

// existingRecord returns the location among the present states of guarded keys, which made a transaction fail.
func existingRecord(current []kvstore.KV) (jobRecord, error) {
	for _, kv := range current {
		if location, err := workflow.Decode[workflow.JobLocation](kv.Value); err == nil && kv.ModRevision != 0 {
			return jobRecord{location, kv.ModRevision}, nil
		}
	}
	return jobRecord{}, errRecordUnreadable
}

// writeWithRetry repeats a transaction until its outcome is known or the limit has passed. The transaction must be
// safe to repeat. An error that matches kvstore.ErrUnavailable means that no attempt has taken effect or will.
func (h *Host) writeWithRetry(ctx context.Context, t kvstore.Txn, limit time.Duration) (kvstore.TxnResult, error) {
	backoff := retry.NewBackoff(minWriteBackoff, maxWriteBackoff, uint64(h.random(1<<30)))
	started, unknown := time.Now(), false
	for attempt := 1; ; attempt++ {
		callCtx, cancel := withTimeout(ctx, storeCallTimeout)
		res, err := h.platform.Store.Txn(callCtx, t)
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
		retry.Sleep(ctx, backoff.Pause(attempt, minWriteBackoff))
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

// relaySubmit asks another host to record a job, because the store refuses this host or can't be reached from it. It
// returns refusal if no other host could be asked.
func (h *Host) relaySubmit(ctx context.Context, j workflow.Job, shard int, refusal Answer) (Answer, jobRecord) {
	record := jobRecord{JobLocation: workflow.JobLocation{Shard: shard}}
	reply, err := h.relay(ctx, shard, peer.Message{JobSubmit: &peer.JobSubmit{Job: workflow.Encode(j), Shard: shard}})
	switch {
	case err != nil && errors.Is(err, peer.ErrNotConnected):
		return refusal, record
	case err != nil:
		return Answer{Outcome: OutcomeUnknown, Reason: "relay: " + err.Error()}, record
	}
	a := Answer{Outcome: Outcome(reply.Outcome), Reason: "relayed", State: workflow.State(reply.State)}
	if a.Outcome == OutcomeRefused {
		a.RetryAfter = retryAfter
	}
	return a, jobRecord{workflow.JobLocation{Shard: reply.Shard, State: a.State}, reply.Revision}
}

// relay sends a request to the owner of the shard, or to another host if the owner is unknown or not connected. An
// error that matches peer.ErrNotConnected means that the request was sent to no host.
func (h *Host) relay(ctx context.Context, shard int, msg peer.Message) (peer.JobReply, error) {
	var candidates []string
	if o, ok := h.directory.owner(shard); ok && o.Incarnation != h.self.Incarnation {
		candidates = append(candidates, o.PeerAddress)
	}
	if peers := h.directory.peers(h.self); len(peers) > 0 {
		candidates = append(candidates, peers[h.random(len(peers))].PeerAddress)
	}
	err := error(peer.ErrNotConnected)
	for _, address := range candidates {
		callCtx, cancel := withTimeout(ctx, relayTimeout+storeCallTimeout)
		var m peer.Message
		m, err = h.request(callCtx, address, msg)
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

// notifyOwner tells the owner of a shard about a new record, through applyLocally if this host is the owner. It makes only
// one attempt, since the owner also watches the records.
func (h *Host) notifyOwner(shard int, msg peer.Message, applyLocally func() bool) {
	if applyLocally() {
		return
	}
	o, ok := h.directory.owner(shard)
	if !ok || o.Incarnation == h.self.Incarnation {
		return
	}
	ctx, cancel := withTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if _, err := h.request(ctx, o.PeerAddress, msg); err != nil {
		h.log.WithError(err).WithFields(logrus.Fields{"shard": shard, "owner": o.Host}).
			Debug("failed to notify the shard's owner; it will see the record through its watch")
	}
}

// logAnswer logs and counts the answer to a caller and returns it.
func (h *Host) logAnswer(decision, id, queue string, a Answer) Answer {
	answers.Add(decision+"_"+string(a.Outcome), 1)
	fields := logrus.Fields{
		"decision": decision, "job": id, "queue": queue, "outcome": string(a.Outcome), "reason": a.Reason,
		"config": h.config.config().Version,
	}
	if a.State != "" {
		fields["state"] = string(a.State)
	}
	if a.Outcome == OutcomeRefused || a.Outcome == OutcomeUnknown {
		h.log.WithFields(fields).Warn("answered request")
	} else {
		h.log.WithFields(fields).Info("answered request")
	}
	return a
}
