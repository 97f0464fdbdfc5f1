package kvstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// jsonInt is an int64. etcd's JSON protocol encodes 64-bit integers as strings.
type jsonInt int64

func (i jsonInt) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

func (i *jsonInt) UnmarshalJSON(data []byte) error {
	text := string(bytes.Trim(data, `"`))
	n, err := strconv.ParseInt(text, 10, 64)
	*i = jsonInt(n)
	return err
}

type (
	responseHeader struct {
		Revision jsonInt `json:"revision"`
	}
	etcdKV struct {
		Key         []byte  `json:"key"`
		Lease       jsonInt `json:"lease,omitempty"`
		ModRevision jsonInt `json:"mod_revision,omitempty"`
		Value       []byte  `json:"value,omitempty"`
	}
	rangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}
	rangeResponse struct {
		Header responseHeader `json:"header"`
		KVs    []etcdKV       `json:"kvs"`
	}
	compare struct {
		Key         []byte  `json:"key"`
		ModRevision jsonInt `json:"mod_revision"`
		Result      string  `json:"result"`
		Target      string  `json:"target"`
	}
	putRequest struct {
		Key   []byte  `json:"key"`
		Lease jsonInt `json:"lease,omitempty"`
		Value []byte  `json:"value"`
	}
	requestOp struct {
		Delete *rangeRequest `json:"request_delete_range,omitempty"`
		Put    *putRequest   `json:"request_put,omitempty"`
	}
	txnRequest struct {
		Compare []compare   `json:"compare"`
		Success []requestOp `json:"success"`
	}
	txnResponse struct {
		Header    responseHeader `json:"header"`
		Succeeded bool           `json:"succeeded"`
	}
	leaseRequest struct {
		ID  jsonInt `json:"ID,omitempty"`
		TTL jsonInt `json:"TTL,omitempty"`
	}
	leaseResponse struct {
		ID     jsonInt `json:"ID"`
		TTL    jsonInt `json:"TTL"`
		Result *struct {
			TTL jsonInt `json:"TTL"`
		} `json:"result"`
	}
	watchCreate struct {
		Key           []byte  `json:"key"`
		RangeEnd      []byte  `json:"range_end,omitempty"`
		StartRevision jsonInt `json:"start_revision,omitempty"`
	}
	watchRequest struct {
		Create watchCreate `json:"create_request"`
	}
	watchEvent struct {
		KV   etcdKV `json:"kv"`
		Type string `json:"type"`
	}
	watchResponse struct {
		Result struct {
			// Canceled is true if the server ended the watch, for instance because the requested revision is compacted.
			Canceled bool         `json:"canceled"`
			Events   []watchEvent `json:"events"`
		} `json:"result"`
	}
)

// etcdClient is a client of the JSON gateway of etcd's v3 protocol.
type etcdClient struct {
	client        *http.Client
	endpoints     []string
	mu            sync.Mutex
	endpointIndex atomic.Uint32
	// timedOut is closed and replaced when a request times out, which ends all watches.
	timedOut chan struct{}
	timeout  time.Duration
}

// NewEtcd returns a client of etcd's v3 JSON gateway. It moves on to the next endpoint after a failed request. The
// timeout applies to every call except Watch.
func NewEtcd(endpoints []string, timeout time.Duration) Store {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 4
	transport.IdleConnTimeout = 30 * time.Second
	e := &etcdClient{client: &http.Client{Transport: transport}, endpoints: endpoints, timedOut: make(chan struct{}), timeout: timeout}
	return Store{
		Get:            e.get,
		Grant:          e.grant,
		KeepAlive:      e.keepAlive,
		Range:          e.rangePrefix,
		Revoke:         e.revoke,
		CompareAndSwap: e.compareAndSwap,
		Watch:          e.watch,
	}
}

func (e *etcdClient) get(ctx context.Context, key string) (KV, error) {
	var out rangeResponse
	if err := e.callRetryable(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &out); err != nil {
		return KV{}, eris.Wrapf(err, "reading %s", key)
	}
	if len(out.KVs) == 0 {
		return KV{Key: key}, nil
	}
	return out.KVs[0].toKV(), nil
}

func (e *etcdClient) grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var out leaseResponse
	seconds := jsonInt((ttl + time.Second - 1) / time.Second)
	// If the response is lost, the granted lease has no keys and expires by itself, so a grant may be retried.
	if err := e.callRetryable(ctx, "/v3/lease/grant", leaseRequest{TTL: seconds}, &out); err != nil {
		return 0, eris.Wrap(err, "granting a lease")
	}
	return int64(out.ID), nil
}

func (e *etcdClient) keepAlive(ctx context.Context, lease int64) error {
	var out leaseResponse
	if err := e.callRetryable(ctx, "/v3/lease/keepalive", leaseRequest{ID: jsonInt(lease)}, &out); err != nil {
		return eris.Wrapf(err, "renewing lease %d", lease)
	}
	if out.Result == nil || out.Result.TTL <= 0 {
		return eris.Wrapf(ErrConflict, "lease %d has run out", lease)
	}
	return nil
}

func (e *etcdClient) rangePrefix(ctx context.Context, prefix string) ([]KV, int64, error) {
	var out rangeResponse
	in := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := e.callRetryable(ctx, "/v3/kv/range", in, &out); err != nil {
		return nil, 0, eris.Wrapf(err, "reading %s*", prefix)
	}
	kvs := make([]KV, len(out.KVs))
	for i, kv := range out.KVs {
		kvs[i] = kv.toKV()
	}
	return kvs, int64(out.Header.Revision), nil
}

func (e *etcdClient) revoke(ctx context.Context, lease int64) error {
	var out leaseResponse
	return eris.Wrapf(e.callRetryable(ctx, "/v3/lease/revoke", leaseRequest{ID: jsonInt(lease)}, &out), "revoking lease %d", lease)
}

func (e *etcdClient) compareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, eris.Wrapf(ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	op := requestOp{Put: &putRequest{Key: []byte(key), Lease: jsonInt(lease), Value: value}}
	if len(value) == 0 {
		op = requestOp{Delete: &rangeRequest{Key: []byte(key)}}
	}
	in := txnRequest{
		Compare: []compare{{Key: []byte(key), ModRevision: jsonInt(expect), Result: "EQUAL", Target: "MOD"}},
		Success: []requestOp{op},
	}
	var out txnResponse
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	if err := e.call(ctx, "/v3/kv/txn", in, &out); err != nil {
		return 0, eris.Wrapf(err, "writing %s", key)
	}
	if !out.Succeeded {
		return 0, eris.Wrapf(ErrConflict, "writing %s at %d", key, expect)
	}
	return int64(out.Header.Revision), nil
}

func (e *etcdClient) watch(ctx context.Context, prefix string, since int64, each func([]Event)) error {
	in := watchRequest{Create: watchCreate{
		Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: jsonInt(since + 1),
	}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.cancelOnTimeout(ctx, cancel, e.timeoutSignal())
	res, err := e.post(ctx, "/v3/watch", in)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "watching %s*: %s", prefix, err)
	}
	defer func() { _ = res.Body.Close() }()
	dec := json.NewDecoder(res.Body)
	for {
		var out watchResponse
		if err := dec.Decode(&out); err != nil {
			return eris.Wrapf(ErrUnavailable, "watching %s*: %s", prefix, err)
		}
		if out.Result.Canceled {
			return eris.Wrapf(ErrUnavailable, "watching %s*: ended by the service", prefix)
		}
		var events []Event
		for _, ev := range out.Result.Events {
			events = append(events, Event{Deleted: ev.Type == "DELETE", KV: ev.KV.toKV()})
		}
		if len(events) > 0 {
			each(events)
		}
	}
}

// cancelOnTimeout cancels a watch when another request times out. The watch's connection may be dead as well, and a watch
// on a dead connection looks like one without changes.
func (e *etcdClient) cancelOnTimeout(ctx context.Context, cancel context.CancelFunc, timedOut <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-timedOut:
		cancel()
	}
}

func (e *etcdClient) cancelWatches() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.timedOut)
	e.timedOut = make(chan struct{})
}

func (e *etcdClient) timeoutSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.timedOut
}

// callRetryable makes a call that is safe to retry: a read, or a call for a lease. An unknown outcome is therefore reported
// as ErrUnavailable.
func (e *etcdClient) callRetryable(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	err := e.call(ctx, path, in, out)
	if errors.Is(err, ErrUnknownOutcome) {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return err
}

// call returns ErrUnavailable if the request was not sent or was rate-limited, and ErrUnknownOutcome if it may have
// been executed.
func (e *etcdClient) call(ctx context.Context, path string, in, out any) error {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	res, err := e.post(ctx, path, in)
	if err != nil {
		if sent.Load() {
			return eris.Wrap(ErrUnknownOutcome, err.Error())
		}
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	switch {
	case res.StatusCode == http.StatusTooManyRequests:
		return eris.Wrapf(ErrUnavailable, "status %d", res.StatusCode)
	case res.StatusCode != http.StatusOK:
		text, _ := io.ReadAll(io.LimitReader(res.Body, 512))
		return eris.Wrapf(ErrUnknownOutcome, "status %d: %s", res.StatusCode, text)
	}
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return eris.Wrap(ErrUnknownOutcome, err.Error())
	}
	return nil
}

func (e *etcdClient) post(ctx context.Context, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	endpoint := e.endpoints[int(e.endpointIndex.Load())%len(e.endpoints)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't resend the request: a repeated write could take effect twice.
	req.GetBody = nil
	res, err := e.client.Do(req)
	if err != nil {
		e.endpointIndex.Add(1)
		// Idle connections may be dead as well; the next request dials a new one.
		e.client.CloseIdleConnections()
		if errors.Is(err, context.DeadlineExceeded) {
			e.cancelWatches()
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return res, nil
}

func (kv etcdKV) toKV() KV {
	return KV{Key: string(kv.Key), Lease: int64(kv.Lease), ModRevision: int64(kv.ModRevision), Value: kv.Value}
}

func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}
