package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the largest number of items in a page of a range.
	pageItems = 500
	// storeLatency is how long the store takes to answer.
	storeLatency = 4 * time.Millisecond
	// The delay of a write that is carried out without an answer is drawn between these limits.
	minLateWrite = time.Second
	maxLateWrite = 6 * time.Second
)

// item is a key of the store, or an event.
type item struct {
	Created  int64  `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	Key      string `json:"key"`
	Lease    int64  `json:"lease,omitempty"`
	Revision int64  `json:"revision"`
	Value    []byte `json:"value,omitempty"`
}

type lease struct {
	end time.Time
	ttl time.Duration
}

// txn is a transaction as the store receives it.
type txn struct {
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

// store is a stand-in for the platform's metadata store. It keeps all history.
type store struct {
	address string
	changed chan struct{}
	events  []item
	items   map[string]item
	leases  map[int64]*lease
	// lost is the share of the writes that get no answer and are carried out late.
	lost   float64
	mu     sync.Mutex
	record *record
	rev    int64
	server *http.Server
}

func newStore(r *record) (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: ln.Addr().String(), changed: make(chan struct{}), items: map[string]item{}, leases: map[int64]*lease{}, record: r,
		rev: 100,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.getWatch)
	mux.HandleFunc("POST /kv-txn", s.postTxn)
	mux.HandleFunc("POST /kv-lease", s.postLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.postKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.deleteLease)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(ln) }()
	go s.expireLeases()
	return s, nil
}

// loseAnswers sets the share of the writes that get no answer and are carried out late.
func (s *store) loseAnswers(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = share
}

// put writes a key without a condition, as the operator and the workers do.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // all values of the stand-ins can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(item{Key: key, Value: data})
	s.notify()
}

// remove removes a key without a condition.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(item{Deleted: true, Key: key})
	s.notify()
}

func (s *store) write(i item) {
	i.Revision = s.rev
	if i.Deleted {
		if _, ok := s.items[i.Key]; !ok {
			return
		}
		delete(s.items, i.Key)
	} else {
		i.Created = s.rev
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

func (s *store) expireLeases() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Deleted: true})
		}
	}
	s.notify()
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		respond(w, http.StatusNotFound, map[string]int64{"atRev": s.rev})
		return
	}
	respond(w, http.StatusOK, i)
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	respond(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageItems)], "morePages": more, "atRev": s.rev})
}

func (s *store) getWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []item{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				found = append(found, e)
			}
		}
		changed, rev := s.changed, s.rev
		s.mu.Unlock()
		if len(found) > 0 {
			time.Sleep(storeLatency)
			respond(w, http.StatusOK, map[string]any{"events": found, "atRev": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			respond(w, http.StatusOK, map[string]any{"events": found, "atRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) postTxn(w http.ResponseWriter, r *http.Request) {
	var in txn
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.ExpectedRev)+len(in.Remove)+len(in.Writes) > 32 {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	isLost := rand.Float64() < s.lost
	s.mu.Unlock()
	if isLost {
		delay := minLateWrite + rand.N(maxLateWrite-minLateWrite)
		time.AfterFunc(delay, func() { s.applyLate(in, delay) })
		<-r.Context().Done() // a channel on which a response is lost returns nothing further
		return
	}
	time.Sleep(storeLatency)
	status, body := s.apply(in)
	respond(w, status, body)
}

// applyLate carries out a write whose answer is lost, if its condition still holds.
func (s *store) applyLate(in txn, delay time.Duration) {
	status, _ := s.apply(in)
	if status != http.StatusOK {
		s.record.count("writes without an answer whose condition did not hold any more")
		return
	}
	s.record.count("writes without an answer that were carried out late")
	var keys []string
	for _, p := range in.Writes {
		keys = append(keys, p.Key)
	}
	s.record.add("store: carried out a write without an answer, %s late: %s", delay.Round(time.Millisecond), strings.Join(keys, " "))
}

func (s *store) apply(in txn) (int, any) {
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
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.rev++
	for _, p := range in.Writes {
		s.write(item{Key: p.Key, Lease: p.Lease, Value: p.Value})
	}
	for _, key := range in.Remove {
		s.write(item{Key: key, Deleted: true})
	}
	s.notify()
	return http.StatusOK, map[string]int64{"revision": s.rev}
}

func (s *store) postLease(w http.ResponseWriter, r *http.Request) {
	var in struct{ TTLMs int64 }
	_ = json.NewDecoder(r.Body).Decode(&in)
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.leases[s.rev] = &lease{end: time.Now().Add(ttl), ttl: ttl}
	respond(w, http.StatusOK, map[string]int64{"lease": s.rev, "ttlMs": in.TTLMs})
}

func (s *store) postKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		respond(w, http.StatusNotFound, struct{}{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	respond(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) deleteLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		s.endLease(id)
	}
	respond(w, http.StatusOK, struct{}{})
}
