package fake

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// Rates and limits that the stand-in enforces by default.
const (
	defaultReadsPerSecond  = 2000
	defaultWritesPerSecond = 400
)

// Platform is a stand-in for the platform's key-value service and host list.
type Platform struct {
	changed chan struct{} // closed and replaced at each change
	counts  PlatformCounts
	events  []kvstore.Event
	faults  PlatformFaults
	hosts   map[string]fleet.Host
	hostLag time.Duration
	kvs     map[string]kvstore.KV
	leases  map[int64]*lease
	mu      sync.Mutex
	nextID  int64
	now     func() time.Time
	rev     int64
	server  platformServer
	tokens  rates
}

// PlatformCounts counts the calls that the stand-in has taken.
type PlatformCounts struct {
	Reads    int64
	Rejected int64
	Watches  int64
	Writes   int64
}

// PlatformFaults are the faults in force.
type PlatformFaults struct {
	// Delay is added to each call.
	Delay time.Duration
	// Down refuses each call without acting on it.
	Down bool
	// LoseAnswers takes that many writes into effect and then breaks the connection.
	LoseAnswers int
}

// PlatformOption sets a property of a Platform.
type PlatformOption func(*Platform)

type lease struct {
	ends time.Time
	ttl  time.Duration
}

type rates struct {
	last            time.Time
	reads, writes   float64
	readsPerSecond  float64
	writesPerSecond float64
}

// NewPlatform returns a stand-in with the rates of the real service.
func NewPlatform(opts ...PlatformOption) *Platform {
	p := &Platform{
		changed: make(chan struct{}),
		hosts:   map[string]fleet.Host{},
		kvs:     map[string]kvstore.KV{},
		leases:  map[int64]*lease{},
		now:     time.Now,
		tokens:  rates{readsPerSecond: defaultReadsPerSecond, writesPerSecond: defaultWritesPerSecond},
	}
	for _, o := range opts {
		o(p)
	}
	p.tokens.reads, p.tokens.writes = p.tokens.readsPerSecond, p.tokens.writesPerSecond
	return p
}

// WithHostLag delays each change of the host list.
func WithHostLag(lag time.Duration) PlatformOption { return func(p *Platform) { p.hostLag = lag } }

// WithPlatformClock replaces the clock.
func WithPlatformClock(now func() time.Time) PlatformOption {
	return func(p *Platform) { p.now = now }
}

// WithRates sets the calls a second that are taken; more are rejected.
func WithRates(reads, writes float64) PlatformOption {
	return func(p *Platform) { p.tokens.readsPerSecond, p.tokens.writesPerSecond = reads, writes }
}

// Counts returns the calls taken so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// RemoveHost takes a host off the host list after the lag.
func (p *Platform) RemoveHost(id string) {
	p.afterLag(func() {
		delete(p.hosts, id)
		p.apply(kvstore.HostPrefix+id, nil, 0)
	})
}

// SetFaults replaces the faults in force. The server of a service that is down refuses connections, and takes
// its port again when the service is back.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	switch {
	case p.server.address == "":
	case f.Down:
		p.server.stop()
	case p.server.server == nil:
		if err := p.listen(p.server.address); err != nil {
			panic(err) // only another process on the port explains it
		}
	}
}

// SetHost puts a host on the host list, or changes it, after the lag.
func (p *Platform) SetHost(h fleet.Host) {
	p.afterLag(func() {
		p.hosts[h.ID] = h
		value, err := json.Marshal(h)
		if err != nil {
			panic(err) // a Host always marshals
		}
		p.apply(kvstore.HostPrefix+h.ID, value, 0)
	})
}

// Store returns direct access without HTTP, with the same rates and faults.
func (p *Platform) Store() kvstore.Store {
	return kvstore.Store{
		Get:       p.get,
		Grant:     p.grant,
		KeepAlive: p.keepAlive,
		Range:     p.rangePrefix,
		Revoke:    p.revoke,
		Swap:      p.swap,
		Watch:     p.watch,
	}
}

func (p *Platform) afterLag(change func()) {
	locked := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		change()
	}
	if p.hostLag == 0 {
		locked()
		return
	}
	time.AfterFunc(p.hostLag, locked)
}

// apply writes or deletes a key and tells the watches.
func (p *Platform) apply(key string, value []byte, leaseID int64) int64 {
	p.rev++
	kv := kvstore.KV{Key: key, Lease: leaseID, ModRevision: p.rev, Value: slices.Clone(value)}
	if len(value) == 0 {
		delete(p.kvs, key)
	} else {
		p.kvs[key] = kv
	}
	p.events = append(p.events, kvstore.Event{Deleted: len(value) == 0, KV: kv})
	close(p.changed)
	p.changed = make(chan struct{})
	return p.rev
}

// begin takes a call's token and applies the faults that refuse it.
func (p *Platform) begin(ctx context.Context, write bool) error {
	p.mu.Lock()
	delay := p.faults.Delay
	p.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return eris.Wrap(kvstore.ErrUnavailable, "timeout before the call was taken")
		case <-time.After(delay):
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	if p.faults.Down {
		return eris.Wrap(kvstore.ErrUnavailable, "down")
	}
	if !p.tokens.take(p.now(), write) {
		p.counts.Rejected++
		return eris.Wrap(kvstore.ErrUnavailable, "over the rate")
	}
	if write {
		p.counts.Writes++
	} else {
		p.counts.Reads++
	}
	return nil
}

// end loses the answer of a write if that fault is in force.
func (p *Platform) end() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return eris.Wrap(kvstore.ErrUnknownOutcome, "answer lost")
	}
	return nil
}

func (p *Platform) expire() {
	now := p.now()
	for id, l := range p.leases {
		if now.After(l.ends) {
			p.dropLease(id)
		}
	}
}

func (p *Platform) dropLease(id int64) {
	delete(p.leases, id)
	for key, kv := range p.kvs {
		if kv.Lease == id {
			p.apply(key, nil, 0)
		}
	}
}

func (p *Platform) get(ctx context.Context, key string) (kvstore.KV, error) {
	if err := p.begin(ctx, false); err != nil {
		return kvstore.KV{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	kv := p.kvs[key]
	kv.Key = key
	return kv, nil
}

func (p *Platform) grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := p.begin(ctx, true); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	p.leases[p.nextID] = &lease{ends: p.now().Add(ttl), ttl: ttl}
	return p.nextID, nil
}

func (p *Platform) keepAlive(ctx context.Context, id int64) error {
	if err := p.begin(ctx, true); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leases[id]
	if !ok {
		return eris.Wrapf(kvstore.ErrConflict, "lease %d has run out", id)
	}
	l.ends = p.now().Add(l.ttl)
	return nil
}

func (p *Platform) rangePrefix(ctx context.Context, prefix string) ([]kvstore.KV, int64, error) {
	if err := p.begin(ctx, false); err != nil {
		return nil, 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []kvstore.KV
	for key, kv := range p.kvs {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	slices.SortFunc(out, func(a, b kvstore.KV) int { return cmp.Compare(a.Key, b.Key) })
	return out, p.rev, nil
}

func (p *Platform) revoke(ctx context.Context, id int64) error {
	if err := p.begin(ctx, true); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLease(id)
	return nil
}

func (p *Platform) swap(ctx context.Context, key string, expect int64, value []byte, leaseID int64) (int64, error) {
	if len(value) > kvstore.MaxValueBytes {
		return 0, eris.Wrapf(kvstore.ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	if err := p.begin(ctx, true); err != nil {
		return 0, err
	}
	rev, err := p.compareAndSwap(key, expect, value, leaseID)
	if err != nil {
		return 0, err
	}
	return rev, p.end()
}

func (p *Platform) compareAndSwap(key string, expect int64, value []byte, leaseID int64) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if have := p.kvs[key].ModRevision; have != expect {
		return 0, eris.Wrapf(kvstore.ErrConflict, "%s is at %d, not %d", key, have, expect)
	}
	if _, ok := p.leases[leaseID]; leaseID != 0 && !ok {
		return 0, eris.Wrapf(kvstore.ErrConflict, "lease %d has run out", leaseID)
	}
	return p.apply(key, value, leaseID), nil
}

func (p *Platform) watch(ctx context.Context, prefix string, since int64, each func([]kvstore.Event)) error {
	if err := p.begin(ctx, false); err != nil {
		return err
	}
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		p.expire()
		var events []kvstore.Event
		from, _ := slices.BinarySearchFunc(p.events, since+1, func(e kvstore.Event, rev int64) int {
			return cmp.Compare(e.KV.ModRevision, rev)
		})
		for _, e := range p.events[from:] {
			if strings.HasPrefix(e.KV.Key, prefix) {
				events = append(events, e)
			}
		}
		since = p.rev
		changed, down := p.changed, p.faults.Down
		p.mu.Unlock()
		if down {
			return eris.Wrap(kvstore.ErrUnavailable, "down")
		}
		if len(events) > 0 {
			each(events)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (r *rates) take(now time.Time, write bool) bool {
	if !r.last.IsZero() {
		passed := now.Sub(r.last).Seconds()
		r.reads = min(r.readsPerSecond, r.reads+passed*r.readsPerSecond)
		r.writes = min(r.writesPerSecond, r.writes+passed*r.writesPerSecond)
	}
	r.last = now
	left := &r.reads
	if write {
		left = &r.writes
	}
	if *left < 1 {
		return false
	}
	*left--
	return true
}
