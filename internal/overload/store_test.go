package overload_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// item is a key of the store, or an event.
type item struct {
	Deleted  bool   `json:"deleted,omitempty"`
	Key      string `json:"key"`
	Lease    int64  `json:"lease,omitempty"`
	Revision int64  `json:"revision"`
	Value    []byte `json:"value,omitempty"`
}

// store is an in-memory stand-in of the platform's key-value service. Its leases don't end, since the tests have one host each.
type store struct {
	*httptest.Server
	changed   chan struct{}
	events    []item
	items     map[string]item
	lastLease int64
	mu        sync.Mutex
	revision  int64
}

func startStore(t *testing.T) *store {
	s := &store{changed: make(chan struct{}), items: map[string]item{}, revision: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.lease)
	mux.HandleFunc("POST /kv-keep/{id}", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, struct{}{}) })
	mux.HandleFunc("DELETE /kv-lease-end/{id}", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, struct{}{}) })
	s.Server = httptest.NewServer(mux)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// put writes a key unconditionally, as the operator and workers do.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{Key: key, Value: []byte(value)})
	s.notify()
}

// write changes a key. The caller holds s.mu.
func (s *store) write(i item) {
	i.Revision = s.revision
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := s.items[r.URL.Query().Get("key")]; ok {
		reply(w, http.StatusOK, i)
		return
	}
	reply(w, http.StatusNotFound, struct{}{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": found, "morePages": false, "atRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, r.URL.Query().Get("prefix")) {
				found = append(found, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "atRev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": found, "atRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev, Writes []item
		Remove              []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, guard := range in.ExpectedRev {
		i, ok := s.items[guard.Key]
		if !ok {
			i = item{Key: guard.Key}
		}
		holds = holds && i.Revision == guard.Revision
		current = append(current, i)
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.revision++
	for _, i := range in.Writes {
		s.write(i)
	}
	for _, key := range in.Remove {
		s.write(item{Deleted: true, Key: key})
	}
	s.notify()
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) lease(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	reply(w, http.StatusOK, map[string]int64{"lease": s.lastLease})
}
