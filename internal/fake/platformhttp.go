package fake

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// platformServer is the HTTP server of a Platform.
type platformServer struct {
	address string       // empty before Start
	server  *http.Server // nil while the service is down
}

// etcdRange and the types below are the parts of the JSON messages of etcd's gateway that the client uses.
type etcdRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type etcdTxn struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision string `json:"mod_revision"`
	} `json:"compare"`
	Success []struct {
		Delete *etcdRange `json:"request_delete_range"`
		Put    *struct {
			Key   []byte `json:"key"`
			Lease string `json:"lease"`
			Value []byte `json:"value"`
		} `json:"request_put"`
	} `json:"success"`
}

type etcdLease struct {
	ID  string `json:"ID"`
	TTL string `json:"TTL"`
}

type etcdWatch struct {
	Create struct {
		Key           []byte `json:"key"`
		StartRevision string `json:"start_revision"`
	} `json:"create_request"`
}

type etcdHeader struct {
	Revision string `json:"revision,omitempty"`
}

type etcdValue struct {
	Key         []byte `json:"key"`
	Lease       string `json:"lease,omitempty"`
	ModRevision string `json:"mod_revision"`
	Value       []byte `json:"value,omitempty"`
}

type etcdEvent struct {
	KV   etcdValue `json:"kv"`
	Type string    `json:"type,omitempty"`
}

type etcdResponse struct {
	Header    etcdHeader        `json:"header"`
	ID        string            `json:"ID,omitempty"`
	KVs       []etcdValue       `json:"kvs,omitempty"`
	Result    *etcdStreamResult `json:"result,omitempty"`
	Succeeded bool              `json:"succeeded,omitempty"`
	TTL       string            `json:"TTL,omitempty"`
}

type etcdStreamResult struct {
	Created bool        `json:"created,omitempty"`
	Events  []etcdEvent `json:"events,omitempty"`
	TTL     string      `json:"TTL,omitempty"`
}

// Start serves the JSON gateway of the etcd API on a loopback port and returns its base URL.
func (p *Platform) Start() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.listen(""); err != nil {
		return "", err
	}
	return "http://" + p.server.address, nil
}

// Stop closes the server and all its connections.
func (p *Platform) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server.stop()
}

// listen starts the server on the address, or on a free port if it is empty; callers hold mu.
func (p *Platform) listen(address string) error {
	l, err := Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: p.handler(), ReadHeaderTimeout: 5 * time.Second}
	p.server = platformServer{address: l.Addr().String(), server: server}
	go func() { _ = server.Serve(l) }()
	return nil
}

func (s *platformServer) stop() {
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", p.serveRange)
	mux.HandleFunc("POST /v3/kv/txn", p.serveTxn)
	mux.HandleFunc("POST /v3/lease/grant", p.serveGrant)
	mux.HandleFunc("POST /v3/lease/keepalive", p.serveKeepAlive)
	mux.HandleFunc("POST /v3/lease/revoke", p.serveRevoke)
	mux.HandleFunc("POST /v3/watch", p.serveWatch)
	return mux
}

func (p *Platform) serveGrant(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[etcdLease](w, r)
	if !ok {
		return
	}
	id, err := p.grant(r.Context(), time.Duration(parseInt(in.TTL))*time.Second)
	respond(w, etcdResponse{ID: formatInt(id), TTL: in.TTL}, err)
}

func (p *Platform) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[etcdLease](w, r)
	if !ok {
		return
	}
	err := p.keepAlive(r.Context(), parseInt(in.ID))
	ttl := "1"
	if errors.Is(err, kvstore.ErrConflict) {
		ttl, err = "0", nil // etcd reports an expired lease as a TTL of 0
	}
	respond(w, etcdResponse{Result: &etcdStreamResult{TTL: ttl}}, err)
}

func (p *Platform) serveRange(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[etcdRange](w, r)
	if !ok {
		return
	}
	if len(in.RangeEnd) == 0 {
		kv, err := p.get(r.Context(), string(in.Key))
		var response etcdResponse
		if kv.ModRevision != 0 {
			response.KVs = []etcdValue{toEtcd(kv)}
		}
		respond(w, response, err)
		return
	}
	kvs, rev, err := p.rangePrefix(r.Context(), string(in.Key))
	response := etcdResponse{Header: etcdHeader{Revision: formatInt(rev)}}
	for _, kv := range kvs {
		response.KVs = append(response.KVs, toEtcd(kv))
	}
	respond(w, response, err)
}

func (p *Platform) serveRevoke(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[etcdLease](w, r)
	if !ok {
		return
	}
	respond(w, etcdResponse{}, p.revoke(r.Context(), parseInt(in.ID)))
}

func (p *Platform) serveTxn(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[etcdTxn](w, r)
	if !ok {
		return
	}
	if len(in.Compare) != 1 || len(in.Success) != 1 {
		http.Error(w, "only a compare-and-swap of one key is supported", http.StatusBadRequest)
		return
	}
	var value []byte
	var leaseID int64
	key := string(in.Compare[0].Key)
	if put := in.Success[0].Put; put != nil {
		value, leaseID = put.Value, parseInt(put.Lease)
	}
	rev, err := p.compareAndSwap(r.Context(), key, parseInt(in.Compare[0].ModRevision), value, leaseID)
	if errors.Is(err, kvstore.ErrConflict) {
		respond(w, etcdResponse{}, nil)
		return
	}
	respond(w, etcdResponse{Header: etcdHeader{Revision: formatInt(rev)}, Succeeded: true}, err)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[etcdWatch](w, r)
	if !ok {
		return
	}
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	_ = enc.Encode(etcdResponse{Result: &etcdStreamResult{Created: true}})
	_ = flush()
	since := parseInt(in.Create.StartRevision) - 1
	_ = p.watch(r.Context(), string(in.Create.Key), since, func(events []kvstore.Event) {
		out := &etcdStreamResult{}
		for _, e := range events {
			eventType := "" // a put
			if e.Deleted {
				eventType = "DELETE"
			}
			out.Events = append(out.Events, etcdEvent{KV: toEtcd(e.KV), Type: eventType})
		}
		_ = enc.Encode(etcdResponse{Result: out})
		_ = flush()
	})
}

func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var in T
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*kvstore.MaxValueBytes)).Decode(&in)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return in, err == nil
}

// parseInt reads a 64-bit integer, which the gateway encodes as a JSON string; a missing or malformed one is 0.
func parseInt(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// respond writes the response or the error. For ErrUnknownOutcome it closes the connection without a response.
func respond(w http.ResponseWriter, response etcdResponse, err error) {
	switch {
	case errors.Is(err, kvstore.ErrUnknownOutcome):
		if conn, _, hijackErr := http.NewResponseController(w).Hijack(); hijackErr == nil {
			_ = conn.Close()
		}
	case errors.Is(err, kvstore.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case err != nil:
		// Calls over the rate limit. While the service is down its port is closed, so no call arrives here.
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response)
	}
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

func toEtcd(kv kvstore.KV) etcdValue {
	return etcdValue{Key: []byte(kv.Key), Lease: formatInt(kv.Lease), ModRevision: formatInt(kv.ModRevision), Value: kv.Value}
}
