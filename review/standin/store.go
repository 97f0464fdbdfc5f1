package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or an event.
type item struct {
	Created  int64  `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	Key      string `json:"key"`
	Lease    int64  `json:"lease,omitempty"`
	Revision int64  `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	// writtenAt is when the key was written or deleted.
	writtenAt time.Time
}

// transaction is the body of POST /kv-txn.
type transaction struct {
	ExpectedRev []struct {
		Key      string
		Revision int64
	}
	Remove []string
	Writes []struct {
		Key   string
		Lease int64
		Value []byte
	}
}

// store is a stand-in for the platform's key-value service. It keeps the history of at least historyTime.
type store struct {
	address string
	changed chan struct{}
	// compacted is the revision up to which the history is gone.
	compacted int64
	events    []item
	items     map[string]item
	lastLease int64
	leases    map[int64]time.Time
	// lateBy returns after what time a transaction is executed without a response; 0 executes and answers it at once. Nil is 0.
	lateBy   func(t transaction) time.Duration
	mu       sync.Mutex
	record   *record
	revision int64
	ttls     map[int64]time.Duration
}

const (
	// historyTime is shorter than historyS, since the store may discard its history sooner.
	historyTime   = 5 * time.Second
	maxTxnEntries = 32
	maxValueBytes = 1 << 20
	pageSize      = 500
)

func newStore(r *record) *store {
	s := &store{
		changed: make(chan struct{}), items: map[string]item{}, lastLease: 1000, leases: map[int64]time.Time{}, record: r,
		revision: 10, ttls: map[int64]time.Duration{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.getWatch)
	mux.HandleFunc("POST /kv-txn", s.postTxn)
	mux.HandleFunc("POST /kv-lease", s.postLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.postKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.deleteLease)
	s.address = serve(mux)
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

// serve serves a handler on a free loopback port and returns the address.
func serve(h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listening: %v", err)
	}
	go func() { _ = http.Serve(ln, h) }()
	return ln.Addr().String()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// put writes a key as the operator and the workers do.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{Key: key, Value: value})
	s.notify()
}

// remove deletes a key as the platform does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{Key: key, Deleted: true})
	s.notify()
}

// write applies a change at the present revision. The caller holds s.mu.
func (s *store) write(i item) {
	i.Revision, i.writtenAt = s.revision, time.Now()
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Revision
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases and discards the history that are too old.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.events) && time.Since(s.events[n].writtenAt) > historyTime {
		s.compacted = s.events[n].Revision
		n++
	}
	s.events = slices.Delete(s.events, 0, n)
	for id, end := range s.leases {
		if time.Now().After(end) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease with its keys. The caller holds s.mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for _, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: i.Key, Deleted: true})
		}
	}
	s.notify()
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"atRev": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AtRev int64 `json:"atRev"`
	}{i, s.revision})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageSize
	if more {
		found = found[:pageSize]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "morePages": more, "atRev": s.revision})
}

func (s *store) getWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		found := []item{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				found = append(found, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		isOver := len(found) > 0
		if !isOver {
			select {
			case <-changed:
				continue
			case <-deadline:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": found, "atRev": revision})
		return
	}
}

func (s *store) postTxn(w http.ResponseWriter, r *http.Request) {
	var in transaction
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.ExpectedRev)+len(in.Remove)+len(in.Writes) > maxTxnEntries {
		reply(w, http.StatusBadRequest, map[string]string{"error": "bad transaction"})
		return
	}
	for _, p := range in.Writes {
		if len(p.Value) > maxValueBytes {
			reply(w, http.StatusRequestEntityTooLarge, map[string]string{"error": p.Key})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]string{"error": p.Key})
			return
		}
	}
	if s.lateBy != nil {
		if late := s.lateBy(in); late > 0 {
			time.AfterFunc(late, func() {
				status, _ := s.execute(in)
				s.record.log("store    executes a write %s late: status %d, keys %s", late.Round(time.Millisecond), status, in.keys())
			})
			<-r.Context().Done() // the channel returns nothing further
			return
		}
	}
	status, body := s.execute(in)
	reply(w, status, body)
}

func (t transaction) keys() string {
	var keys []string
	for _, p := range t.Writes {
		keys = append(keys, p.Key)
	}
	return strings.Join(keys, " ")
}

// execute carries out a transaction if its conditions hold.
func (s *store) execute(in transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, g := range in.ExpectedRev {
		i, ok := s.items[g.Key]
		if !ok {
			i = item{Key: g.Key}
		}
		holds = holds && i.Revision == g.Revision
		current = append(current, i)
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range in.Writes {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, p := range in.Writes {
		s.write(item{Key: p.Key, Lease: p.Lease, Value: p.Value})
	}
	for _, key := range in.Remove {
		if _, ok := s.items[key]; ok {
			s.write(item{Key: key, Deleted: true})
		}
	}
	s.notify()
	return http.StatusOK, map[string]int64{"revision": s.revision}
}

func (s *store) postLease(w http.ResponseWriter, r *http.Request) {
	var in struct{ TTLMs int64 }
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.ttls[s.lastLease] = time.Duration(in.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = time.Now().Add(s.ttls[s.lastLease])
	reply(w, http.StatusOK, map[string]int64{"lease": s.lastLease, "ttlMs": in.TTLMs})
}

func (s *store) postKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	reply(w, http.StatusOK, map[string]int64{"ttlMs": s.ttls[id].Milliseconds()})
}

func (s *store) deleteLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; ok {
		s.endLease(id)
	}
	reply(w, http.StatusOK, struct{}{})
}
