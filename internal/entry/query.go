package entry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/jobrecord"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// queryTimeout bounds one query to an owner: two round trips between zones and a lost packet.
	queryTimeout = 500 * time.Millisecond
	// maxPendingAge is how long a cached count of pending jobs is reused.
	maxPendingAge = 700 * time.Millisecond
)

// errJobNotFound means that the store has no record of a job with that id.
var errJobNotFound = errors.New("no such job")

// locate returns the location of a job from the cache, the store or a peer.
func (h *Host) locate(ctx context.Context, id string) (jobRecord, error) {
	if record, ok := h.locations.get(id); ok {
		return record, nil
	}
	return h.readLocation(ctx, id, true)
}

// readLocation reads the location of a job from the store. If the store fails and askPeers is set, it asks a peer.
func (h *Host) readLocation(ctx context.Context, id string, askPeers bool) (jobRecord, error) {
	callCtx, cancel := withTimeout(ctx, storeCallTimeout)
	defer cancel()
	kv, err := h.platform.Store.Get(callCtx, locationKey(id))
	if err != nil {
		if !askPeers {
			return jobRecord{}, err
		}
		reply, relayErr := h.relay(ctx, 0, peer.Message{JobQuery: &peer.JobQuery{ID: id, Shard: -1}})
		switch {
		case relayErr != nil:
			return jobRecord{}, err
		case Outcome(reply.Outcome) == OutcomeNoJob:
			return jobRecord{}, errJobNotFound
		case Outcome(reply.Outcome) != OutcomeAccepted:
			return jobRecord{}, err
		}
		return jobRecord{JobLocation: workflow.JobLocation{Shard: reply.Shard, State: workflow.State(reply.State)}}, nil
	}
	if kv.ModRevision == 0 {
		return jobRecord{}, errJobNotFound
	}
	location, err := workflow.Decode[workflow.JobLocation](kv.Value)
	switch {
	case err != nil:
		return jobRecord{}, err
	case location.IsTombstone():
		return jobRecord{}, errJobPrevented
	}
	record := jobRecord{location, kv.ModRevision}
	h.locations.put(id, record)
	return record, nil
}

// State returns the state of a job: the one that the owner of its shard reports, or the recorded final state if the owner does
// not answer. Without either the job is reported as running.
func (h *Host) State(ctx context.Context, q workflow.Queue, id string) Answer {
	location, err := h.locate(ctx, id)
	switch {
	case errors.Is(err, errJobNotFound):
		return h.logAnswer("state", id, q.Name, Answer{Outcome: OutcomeNoJob, Reason: "not on record"})
	case err != nil:
		return h.logAnswer("state", id, q.Name, Answer{Outcome: OutcomeRefused, Reason: err.Error(), RetryAfter: retryAfter})
	case location.State.IsFinal():
		return Answer{Outcome: OutcomeAccepted, State: location.State}
	}
	if s, ok := h.askState(ctx, location.Shard, id); ok {
		if s.IsFinal() {
			h.locations.put(id, jobRecord{JobLocation: workflow.JobLocation{Shard: location.Shard, State: s}})
		}
		return Answer{Outcome: OutcomeAccepted, State: s}
	}
	// The job may have ended meanwhile, or the shard has no owner that can be asked.
	if location, err = h.readLocation(ctx, id, true); err == nil && location.State.IsFinal() {
		return Answer{Outcome: OutcomeAccepted, State: location.State}
	}
	return Answer{Outcome: OutcomeAccepted, State: workflow.StateRunning}
}

func (h *Host) askState(ctx context.Context, shard int, id string) (workflow.State, bool) {
	if s, isOwner, ok := h.ownedShards.state(shard, id); isOwner {
		return s, ok
	}
	o, ok := h.directory.owner(shard)
	if !ok || o.Incarnation == h.self.Incarnation {
		return "", false
	}
	ctx, cancel := withTimeout(ctx, queryTimeout)
	defer cancel()
	m, err := h.request(ctx, o.PeerAddress, peer.Message{JobQuery: &peer.JobQuery{ID: id, Shard: shard}})
	if err != nil || m.JobReply == nil || Outcome(m.JobReply.Outcome) != OutcomeAccepted {
		return "", false
	}
	return workflow.State(m.JobReply.State), true
}

// Cancel records the cancellation of a job and notifies the owner of its shard. A job that is not on record may be about to be: its
// record is prevented before the caller is told that there is no such job.
func (h *Host) Cancel(ctx context.Context, q workflow.Queue, id string) Answer {
	location, err := h.locate(ctx, id)
	switch {
	case errors.Is(err, errJobPrevented):
		return h.logAnswer("cancel", id, q.Name, Answer{Outcome: OutcomeNoJob, Reason: err.Error()})
	case errors.Is(err, errJobNotFound):
		var a Answer
		if a, location.JobLocation = h.preventJob(ctx, id); a.Outcome != OutcomeAccepted {
			return h.logAnswer("cancel", id, q.Name, a)
		}
	case err != nil:
		return h.logAnswer("cancel", id, q.Name, Answer{Outcome: OutcomeRefused, Reason: err.Error(), RetryAfter: retryAfter})
	}
	if location.State.IsFinal() {
		return h.logAnswer("cancel", id, q.Name, Answer{Outcome: OutcomeAccepted, Reason: "has ended", State: location.State})
	}
	a := Answer{Outcome: OutcomeRefused, Reason: "the store does not answer", RetryAfter: retryAfter}
	if h.session.isHealthy() {
		a = h.recordCancel(ctx, location.Shard, id)
	}
	if a.Outcome == OutcomeNoJob || a.State.IsFinal() {
		return h.logAnswer("cancel", id, q.Name, a)
	}
	if a.Outcome != OutcomeAccepted {
		reply, err := h.relay(ctx, location.Shard, peer.Message{JobCancel: &peer.JobCancel{ID: id, Shard: location.Shard}})
		if err == nil && (a.Outcome == OutcomeRefused || Outcome(reply.Outcome) == OutcomeAccepted) {
			a = Answer{Outcome: Outcome(reply.Outcome), Reason: "relayed", RetryAfter: retryAfter}
		}
	}
	if a.Outcome == OutcomeAccepted {
		go h.notifyOwner(location.Shard, peer.Message{
			JobCancel: &peer.JobCancel{ID: id, Recorded: true, Shard: location.Shard},
		}, func() bool {
			return h.ownedShards.cancelJob(location.Shard, id)
		})
	}
	return h.logAnswer("cancel", id, q.Name, a)
}

// recordCancel records the cancellation of a job that has not ended. The guard keeps a write without a response from being executed once the job
// has ended: its key would stay, and cancel a job that is submitted under the id later.
func (h *Host) recordCancel(ctx context.Context, shard int, id string) Answer {
	record, _ := h.locations.get(id)
	t := kvstore.Txn{
		Guards: []kvstore.Guard{{Key: locationKey(id), Revision: max(record.revision, jobrecord.UnknownRevision)}},
		Puts:   []kvstore.Put{{Key: cancelKey(shard, id), Value: []byte{1}}},
	}
	for {
		res, err := h.writeWithRetry(ctx, t, acceptTimeout)
		switch {
		case err == nil:
			return Answer{Outcome: OutcomeAccepted, Reason: "recorded"}
		case errors.Is(err, kvstore.ErrUnknownOutcome):
			return Answer{Outcome: OutcomeUnknown, Reason: err.Error()}
		case !errors.Is(err, kvstore.ErrConflict):
			return Answer{Outcome: OutcomeRefused, Reason: err.Error(), RetryAfter: retryAfter}
		}
		record, err = existingRecord(res.Current)
		switch {
		case err != nil, record.IsTombstone():
			h.locations.remove(id)
			return Answer{Outcome: OutcomeNoJob, Reason: "not on record any more"}
		case record.State.IsFinal():
			h.locations.put(id, record)
			return Answer{Outcome: OutcomeAccepted, Reason: "has ended", State: record.State}
		case record.revision == t.Guards[0].Revision:
			return Answer{Outcome: OutcomeRefused, Reason: errRecordUnreadable.Error(), RetryAfter: retryAfter}
		}
		h.locations.put(id, record)
		t.Guards = []kvstore.Guard{{Key: locationKey(id), Revision: record.revision}}
	}
}

// pendingCount is a cached number of a queue's pending jobs in a shard.
type pendingCount struct {
	receivedAt time.Time
	count      int
}

type pendingKey struct {
	queue string
	shard int
}

// pendingCall is a count of pending jobs that is under way. count or err is set before done is closed.
type pendingCall struct {
	count int
	done  chan struct{}
	err   error
}

// pendingCache holds the numbers of pending jobs in shards that this host does not own, and the counts that are under way.
type pendingCache struct {
	calls  map[pendingKey]*pendingCall
	counts map[pendingKey]pendingCount
	mu     sync.Mutex
}

func newPendingCache() *pendingCache {
	return &pendingCache{calls: map[pendingKey]*pendingCall{}, counts: map[pendingKey]pendingCount{}}
}

// Pending returns the number of a queue's jobs that have not started, over all shards. All owners are asked at once, so the answer
// takes as long as that of the slowest owner.
func (h *Host) Pending(ctx context.Context, q workflow.Queue) Answer {
	counts := make([]int, h.directory.shardCount())
	errs := make([]error, len(counts))
	var queries sync.WaitGroup
	for shard := range counts {
		queries.Go(func() { counts[shard], errs[shard] = h.shardPending(ctx, pendingKey{q.Name, shard}) })
	}
	queries.Wait()
	total := 0
	for shard, n := range counts {
		if err := errs[shard]; err != nil {
			return h.logAnswer("pending", "", q.Name, Answer{Outcome: OutcomeRefused, Reason: err.Error(), RetryAfter: retryAfter})
		}
		total += n
	}
	return Answer{Outcome: OutcomeAccepted, Pending: total}
}

// shardPending returns the number of a queue's pending jobs in a shard. Callers that ask at the same time share one call: a
// count in the store reads all records of the shard.
func (h *Host) shardPending(ctx context.Context, k pendingKey) (int, error) {
	if n, ok := h.ownedShards.pending(k.shard, k.queue); ok {
		return n, nil
	}
	h.pending.mu.Lock()
	if last, ok := h.pending.counts[k]; ok && time.Since(last.receivedAt) < maxPendingAge {
		h.pending.mu.Unlock()
		return last.count, nil
	}
	call := h.pending.calls[k]
	if call == nil {
		call = &pendingCall{done: make(chan struct{})}
		h.pending.calls[k] = call
		// The call continues if its caller disconnects, since others may wait for it.
		go h.fetchPending(context.WithoutCancel(ctx), k, call)
	}
	h.pending.mu.Unlock()
	select {
	case <-call.done:
		return call.count, call.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// fetchPending asks the owner of a shard for its pending jobs, or else counts them in the store, and completes the call.
func (h *Host) fetchPending(ctx context.Context, k pendingKey, call *pendingCall) {
	n, ok := h.askPending(ctx, k)
	if !ok {
		n, call.err = h.countPending(ctx, k)
	}
	call.count = n
	h.pending.mu.Lock()
	defer h.pending.mu.Unlock()
	delete(h.pending.calls, k)
	if call.err == nil {
		h.pending.counts[k] = pendingCount{receivedAt: time.Now(), count: n}
	}
	close(call.done)
}

func (h *Host) askPending(ctx context.Context, k pendingKey) (int, bool) {
	o, found := h.directory.owner(k.shard)
	if !found || o.Incarnation == h.self.Incarnation {
		return 0, false
	}
	ctx, cancel := withTimeout(ctx, queryTimeout)
	defer cancel()
	m, err := h.request(ctx, o.PeerAddress, peer.Message{PendingQuery: &peer.PendingQuery{Queue: k.queue, Shard: k.shard}})
	if err != nil || m.PendingReply == nil || !m.PendingReply.Known {
		return 0, false
	}
	return m.PendingReply.Count, true
}

// countPending counts a queue's job records without progress or cancellation. It is used while the owner can't be asked.
func (h *Host) countPending(ctx context.Context, k pendingKey) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	jobs, _, err := h.platform.Store.Range(ctx, shardJobsPrefix(k.shard))
	if err != nil {
		return 0, err
	}
	records, _, err := h.platform.Store.Range(ctx, shardProgressPrefix(k.shard))
	if err != nil {
		return 0, err
	}
	started := make(map[string]bool, len(records))
	for _, kv := range records {
		started[strings.TrimPrefix(kv.Key, shardProgressPrefix(k.shard))] = true
	}
	count := 0
	for _, kv := range jobs {
		id, cancelled := parseJobKey(kv.Key, k.shard)
		if cancelled || started[id] {
			continue
		}
		if j, err := workflow.Decode[workflow.Job](kv.Value); err == nil && j.Queue == k.queue {
			count++
		}
	}
	return count, nil
}
