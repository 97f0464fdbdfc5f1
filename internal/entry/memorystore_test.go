package entry_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// rangeTimeout bounds a read of keys, as in the platform's client.
const rangeTimeout = time.Second

// memoryStore is an in-memory store with leases and watches, for synctest bubbles.
type memoryStore struct {
	mu      sync.Mutex
	changed chan struct{}
	// compactions is the number of times at which the history was dropped, which ends watches.
	compactions int
	// compactedAt is the revision up to which the history was dropped.
	compactedAt int64
	// cuts is the number of times at which all watches were cut.
	cuts      int
	downSince time.Time
	events    []storeEvent
	items     map[string]kvstore.KV
	// jobsDelay is how long a read of a shard's jobs takes, as that of many pages.
	jobsDelay time.Duration
	lastLease int64
	leases    map[int64]*memoryLease
	revision  int64
	// renewalFault, if set, replaces the renewal of a lease.
	renewalFault func(ctx context.Context, h *simulatedHost, lease int64) error
	// txnFault, if set, returns what happens to a transaction of a host.
	txnFault func(host string, t kvstore.Txn) txnFault
	// unreadablePrefix, if set, is a prefix that can't be read.
	unreadablePrefix string
	// unreadableJobsFor, if set, is a host that can't read the jobs of any shard.
	unreadableJobsFor string
	// watchDelay, if set, returns how much longer the next response of a host's watch takes.
	watchDelay func(host string) time.Duration
	// unwatchedPrefix, if set, is a prefix whose changes reach no watch. They follow once it is unset.
	unwatchedPrefix string
	// writeOrder compares the keys that a transaction writes; their events come in this order. If it is nil, they come as written.
	writeOrder func(a, b string) int
}

type storeEvent struct {
	kvstore.Event
	at time.Time
}

// txnFault is a fault of the store in a transaction; the zero value means that there is none.
type txnFault struct {
	isRefused bool
	// delay, if set, is after what time the transaction is executed, without an answer.
	delay time.Duration
}

type memoryLease struct {
	end   time.Time
	timer *time.Timer
	ttl   time.Duration
}

func newMemoryStore() *memoryStore {
	return &memoryStore{changed: make(chan struct{}), items: map[string]kvstore.KV{}, leases: map[int64]*memoryLease{}, revision: 10}
}

// setTxnFault sets what happens to the transactions of hosts.
func (s *memoryStore) setTxnFault(draw func(host string, t kvstore.Txn) txnFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnFault = draw
}

// setRenewalFault replaces renewals of leases.
func (s *memoryStore) setRenewalFault(renew func(ctx context.Context, h *simulatedHost, lease int64) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewalFault = renew
}

// setDown ends all answers, or lets the store answer again. Leases run on meanwhile; those that are over end with the outage.
func (s *memoryStore) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isDown {
		s.downSince = time.Now()
		return
	}
	s.downSince = time.Time{}
	for id, l := range s.leases {
		if !time.Now().Before(l.end) {
			s.endLease(id)
		}
	}
	s.notify()
}

func (s *memoryStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.downSince.IsZero()
}

func (s *memoryStore) setUnwatched(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unwatchedPrefix = prefix
	s.notify()
}

func (s *memoryStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) write(ev kvstore.Event) {
	ev.KV.ModRevision = s.revision
	if ev.Deleted {
		delete(s.items, ev.KV.Key)
	} else {
		s.items[ev.KV.Key] = ev.KV
	}
	s.events = append(s.events, storeEvent{ev, time.Now()})
}

func (s *memoryStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(kvstore.Event{KV: kvstore.KV{Key: key, Value: value}})
	s.notify()
}

func (s *memoryStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(kvstore.Event{Deleted: true, KV: kvstore.KV{Key: key}})
	s.notify()
}

func (s *memoryStore) get(key string) kvstore.KV {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key]
}

func (s *memoryStore) endLease(id int64) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	s.revision++
	var keys []string
	for key, kv := range s.items {
		if kv.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.write(kvstore.Event{Deleted: true, KV: kvstore.KV{Key: key}})
	}
	s.notify()
}

func (s *memoryStore) grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &memoryLease{end: time.Now().Add(ttl), ttl: ttl}
	s.leases[id].timer = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if l, ok := s.leases[id]; ok && s.downSince.IsZero() && !time.Now().Before(l.end) {
			s.endLease(id)
		}
	})
	return id
}

func (s *memoryStore) keepAlive(id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return kvstore.ErrConflict
	}
	l.end = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

func (s *memoryStore) revoke(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; ok {
		s.endLease(id)
	}
}

func (s *memoryStore) readRange(prefix string) ([]kvstore.KV, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []kvstore.KV
	for key, kv := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	slices.SortFunc(out, func(a, b kvstore.KV) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision
}

func (s *memoryStore) txn(t kvstore.Txn) (kvstore.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var res kvstore.TxnResult
	holds := true
	for _, g := range t.Guards {
		kv, ok := s.items[g.Key]
		if !ok {
			kv = kvstore.KV{Key: g.Key}
		}
		holds = holds && kv.ModRevision == g.Revision
		res.Current = append(res.Current, kv)
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return kvstore.TxnResult{}, kvstore.ErrConflict
		}
	}
	if !holds {
		return res, kvstore.ErrConflict
	}
	s.revision++
	puts := slices.Clone(t.Puts)
	if s.writeOrder != nil {
		slices.SortFunc(puts, func(a, b kvstore.Put) int { return s.writeOrder(a.Key, b.Key) })
	}
	for _, p := range puts {
		s.write(kvstore.Event{KV: kvstore.KV{Key: p.Key, Lease: p.Lease, Value: p.Value}})
	}
	for _, key := range t.Deletes {
		s.write(kvstore.Event{Deleted: true, KV: kvstore.KV{Key: key}})
	}
	s.notify()
	return kvstore.TxnResult{Revision: s.revision}, nil
}

// callTxn executes a transaction of a host unless there is a fault.
func (s *memoryStore) callTxn(ctx context.Context, host string, t kvstore.Txn) (kvstore.TxnResult, error) {
	var fault txnFault
	s.mu.Lock()
	draw := s.txnFault
	s.mu.Unlock()
	if draw != nil {
		fault = draw(host, t)
	}
	switch {
	case fault.isRefused:
		return kvstore.TxnResult{}, kvstore.ErrUnavailable
	case fault.delay > 0:
		// The caller changes the guards of its next attempt, and must not change those of the late one.
		t.Guards = slices.Clone(t.Guards)
		time.AfterFunc(max(fault.delay, retry.ShortestTimer), func() { _, _ = s.txn(t) })
		<-ctx.Done()
		return kvstore.TxnResult{}, kvstore.ErrUnknownOutcome
	}
	return s.txn(t)
}

// setWatchDelay makes later responses of watches take longer than usual.
func (s *memoryStore) setWatchDelay(delay func(host string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchDelay = delay
}

// watchLag returns how much longer than usual the next response of a host's watch takes.
func (s *memoryStore) watchLag(host string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watchDelay == nil {
		return 0
	}
	return s.watchDelay(host)
}

// client returns the store as a host sees it.
func (s *memoryStore) client(h *simulatedHost) kvstore.Store {
	return kvstore.Store{
		Get: func(ctx context.Context, key string) (kv kvstore.KV, err error) {
			err = h.callStore(ctx, kvstore.ErrUnavailable, func() error { kv = s.get(key); return nil })
			return kv, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (id int64, err error) {
			err = h.callStore(ctx, kvstore.ErrUnavailable, func() error { id = s.grant(ttl); return nil })
			return id, err
		},
		KeepAlive: func(ctx context.Context, id int64) error {
			s.mu.Lock()
			renew := s.renewalFault
			s.mu.Unlock()
			if renew != nil {
				return renew(ctx, h, id)
			}
			return h.callStore(ctx, kvstore.ErrUnavailable, func() error { return s.keepAlive(id) })
		},
		Range: func(ctx context.Context, prefix string) (kvs []kvstore.KV, revision int64, err error) {
			if strings.HasPrefix(prefix, entry.JobPrefix) {
				sleep(ctx, s.jobsDelay)
			}
			callCtx, cancel := context.WithTimeout(ctx, rangeTimeout)
			defer cancel()
			err = h.callStore(callCtx, kvstore.ErrUnavailable, func() error {
				if s.isUnreadable(h.name, prefix) {
					return kvstore.ErrUnavailable
				}
				kvs, revision = s.readRange(prefix)
				return nil
			})
			h.use(ctx, time.Duration(len(kvs))*recordCost)
			return kvs, revision, err
		},
		Revoke: func(ctx context.Context, id int64) error {
			return h.callStore(ctx, kvstore.ErrUnavailable, func() error { s.revoke(id); return nil })
		},
		Txn: func(ctx context.Context, t kvstore.Txn) (res kvstore.TxnResult, err error) {
			h.use(ctx, time.Duration(t.Size())*recordCost)
			err = h.callStore(ctx, kvstore.ErrUnknownOutcome, func() (err error) { res, err = s.callTxn(ctx, h.name, t); return err })
			return res, err
		},
		Watch: func(ctx context.Context, prefix string, since int64, each func([]kvstore.Event)) error {
			compactions, cuts := s.compactionCount(), s.cutCount()
			if s.lacksHistory(since) {
				return kvstore.ErrCompacted
			}
			for ctx.Err() == nil {
				switch {
				case s.isDown() || h.isCut.Load(), s.cutCount() != cuts:
					return kvstore.ErrUnavailable
				case s.compactionCount() != compactions:
					return kvstore.ErrCompacted
				}
				events, changed := s.eventsAfter(prefix, since)
				if len(events) > 0 {
					since = events[len(events)-1].KV.ModRevision
					sleep(ctx, storeLatency+s.watchLag(h.name))
					h.use(ctx, time.Duration(len(events))*recordCost/4)
					if ctx.Err() == nil {
						each(events)
					}
					continue
				}
				select {
				case <-ctx.Done():
				case <-changed:
				case <-time.After(time.Second): // notices an outage
				}
			}
			return ctx.Err()
		},
	}
}
