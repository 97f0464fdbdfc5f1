package entry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// queryTimeout bounds one question to an owner: two round trips between zones and a lost packet.
	queryTimeout = 500 * time.Millisecond
	// pendingAge is how old a count of pending jobs may be.
	pendingAge = 700 * time.Millisecond
)

// errNoJob says that no job of that id is on record.
var errNoJob = errors.New("no such job")

// place returns where a job lives, from memory, the store or a peer.
func (h *Host) place(ctx context.Context, id string) (workflow.Placed, error) {
	if at, ok := h.known.get(id); ok {
		return at, nil
	}
	return h.readPlace(ctx, id, true)
}

func (h *Host) readPlace(ctx context.Context, id string, mayAsk bool) (workflow.Placed, error) {
	call, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	kv, err := h.platform.Store.Get(call, placedKey(id))
	if err != nil {
		if !mayAsk {
			return workflow.Placed{}, err
		}
		reply, relayErr := h.relay(ctx, 0, peer.Message{JobQuery: &peer.JobQuery{ID: id, Shard: -1}})
		switch {
		case relayErr != nil:
			return workflow.Placed{}, err
		case Outcome(reply.Outcome) == OutcomeNoJob:
			return workflow.Placed{}, errNoJob
		case Outcome(reply.Outcome) != OutcomeAccepted:
			return workflow.Placed{}, err
		}
		return workflow.Placed{Shard: reply.Shard, State: workflow.State(reply.State)}, nil
	}
	if kv.ModRevision == 0 {
		return workflow.Placed{}, errNoJob
	}
	at, err := workflow.Decode[workflow.Placed](kv.Value)
	if err != nil {
		return at, err
	}
	h.known.put(id, at)
	return at, nil
}

// State returns the state of a job: from its owner, or the record's if the owner can't be asked.
func (h *Host) State(ctx context.Context, q workflow.Queue, id string) Answer {
	at, err := h.place(ctx, id)
	switch {
	case errors.Is(err, errNoJob):
		return h.decided("state", id, q.Name, Answer{Outcome: OutcomeNoJob, Reason: "not on record"})
	case err != nil:
		return h.decided("state", id, q.Name, Answer{Outcome: OutcomeRefused, Reason: err.Error(), RetryAfter: retryAfter})
	case at.State.IsFinal():
		return Answer{Outcome: OutcomeAccepted, State: at.State}
	}
	if s, ok := h.askState(ctx, at.Shard, id); ok {
		if s.IsFinal() {
			h.known.put(id, workflow.Placed{Shard: at.Shard, State: s})
		}
		return Answer{Outcome: OutcomeAccepted, State: s}
	}
	// The owner may have ended the job already, or there is none at present.
	if at, err = h.readPlace(ctx, id, true); err == nil && at.State.IsFinal() {
		return Answer{Outcome: OutcomeAccepted, State: at.State}
	}
	return Answer{Outcome: OutcomeAccepted, State: workflow.StateRunning}
}

func (h *Host) askState(ctx context.Context, shard int, id string) (workflow.State, bool) {
	if s, owner, ok := h.owners.state(shard, id); owner {
		return s, ok
	}
	o, ok := h.directory.owner(shard)
	if !ok || o.Run == h.self.Run {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	m, err := h.pool.Request(ctx, o.Peer, peer.Message{JobQuery: &peer.JobQuery{ID: id, Shard: shard}})
	if err != nil || m.JobReply == nil || Outcome(m.JobReply.Outcome) != OutcomeAccepted {
		return "", false
	}
	return workflow.State(m.JobReply.State), true
}

// Cancel records the cancellation of a job and tells its owner.
func (h *Host) Cancel(ctx context.Context, q workflow.Queue, id string) Answer {
	at, err := h.place(ctx, id)
	switch {
	case errors.Is(err, errNoJob):
		return h.decided("cancel", id, q.Name, Answer{Outcome: OutcomeNoJob, Reason: "not on record"})
	case err != nil:
		return h.decided("cancel", id, q.Name, Answer{Outcome: OutcomeRefused, Reason: err.Error(), RetryAfter: retryAfter})
	case at.State.IsFinal():
		return h.decided("cancel", id, q.Name, Answer{Outcome: OutcomeAccepted, Reason: "has ended", State: at.State})
	}
	a := Answer{Outcome: OutcomeRefused, Reason: "the store does not answer", RetryAfter: retryAfter}
	if h.session.isHealthy() {
		a = h.recordCancel(ctx, at.Shard, id)
	}
	if a.Outcome != OutcomeAccepted {
		reply, err := h.relay(ctx, at.Shard, peer.Message{JobCancel: &peer.JobCancel{ID: id, Shard: at.Shard}})
		if err == nil && (a.Outcome == OutcomeRefused || Outcome(reply.Outcome) == OutcomeAccepted) {
			a = Answer{Outcome: Outcome(reply.Outcome), Reason: "relayed", RetryAfter: retryAfter}
		}
	}
	if a.Outcome == OutcomeAccepted {
		go h.notice(at.Shard, peer.Message{JobCancel: &peer.JobCancel{ID: id, Recorded: true, Shard: at.Shard}}, func() bool {
			return h.owners.cancel(at.Shard, id)
		})
	}
	return h.decided("cancel", id, q.Name, a)
}

func (h *Host) recordCancel(ctx context.Context, shard int, id string) Answer {
	_, err := h.write(ctx, kvstore.Txn{Puts: []kvstore.Put{{Key: cancelKey(shard, id), Value: []byte{1}}}}, acceptTimeout)
	switch {
	case err == nil:
		return Answer{Outcome: OutcomeAccepted, Reason: "recorded"}
	case errors.Is(err, kvstore.ErrUnknownOutcome):
		return Answer{Outcome: OutcomeUnknown, Reason: err.Error()}
	}
	return Answer{Outcome: OutcomeRefused, Reason: err.Error(), RetryAfter: retryAfter}
}

// pendingCount is the last count of a queue in a shard.
type pendingCount struct {
	at    time.Time
	count int
}

type pendingKey struct {
	queue string
	shard int
}

// pendingCache keeps the counts of queues; an owner that can't be asked counts as before.
type pendingCache struct {
	counts map[pendingKey]pendingCount
	mu     sync.Mutex
}

func newPendingCache() *pendingCache { return &pendingCache{counts: map[pendingKey]pendingCount{}} }

// Pending returns how many jobs of a queue have not started, in all shards.
func (h *Host) Pending(ctx context.Context, q workflow.Queue) Answer {
	total := 0
	for shard := range h.directory.shards() {
		n, err := h.pendingOf(ctx, pendingKey{q.Name, shard})
		if err != nil {
			return h.decided("pending", "", q.Name, Answer{Outcome: OutcomeRefused, Reason: err.Error(), RetryAfter: retryAfter})
		}
		total += n
	}
	return Answer{Outcome: OutcomeAccepted, Pending: total}
}

func (h *Host) pendingOf(ctx context.Context, k pendingKey) (int, error) {
	if n, ok := h.owners.pending(k.shard, k.queue); ok {
		return n, nil
	}
	h.pending.mu.Lock()
	last, ok := h.pending.counts[k]
	h.pending.mu.Unlock()
	if ok && time.Since(last.at) < pendingAge {
		return last.count, nil
	}
	n, ok := h.askPending(ctx, k)
	if !ok {
		var err error
		if n, err = h.countPending(ctx, k); err != nil {
			return 0, err
		}
	}
	h.pending.mu.Lock()
	defer h.pending.mu.Unlock()
	h.pending.counts[k] = pendingCount{at: time.Now(), count: n}
	return n, nil
}

func (h *Host) askPending(ctx context.Context, k pendingKey) (int, bool) {
	o, found := h.directory.owner(k.shard)
	if !found || o.Run == h.self.Run {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	m, err := h.pool.Request(ctx, o.Peer, peer.Message{PendingQuery: &peer.PendingQuery{Queue: k.queue, Shard: k.shard}})
	if err != nil || m.PendingReply == nil || !m.PendingReply.Known {
		return 0, false
	}
	return m.PendingReply.Count, true
}

// countPending counts the records of jobs without progress, while no owner can be asked.
func (h *Host) countPending(ctx context.Context, k pendingKey) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	jobs, _, err := h.platform.Store.Range(ctx, jobsOf(k.shard))
	if err != nil {
		return 0, err
	}
	records, _, err := h.platform.Store.Range(ctx, progressOf(k.shard))
	if err != nil {
		return 0, err
	}
	started := make(map[string]bool, len(records))
	for _, kv := range records {
		started[strings.TrimPrefix(kv.Key, progressOf(k.shard))] = true
	}
	count := 0
	for _, kv := range jobs {
		id, cancelled := cancelledID(kv.Key, k.shard)
		if cancelled || started[id] {
			continue
		}
		if j, err := workflow.Decode[workflow.Job](kv.Value); err == nil && j.Queue == k.queue {
			count++
		}
	}
	return count, nil
}
