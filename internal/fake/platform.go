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

// Calls per second that a Platform accepts by default.
const (
	defaultReadsPerSecond  = 2000
	defaultWritesPerSecond = 400
)

// Platform is an in-memory fake of the platform's key-value service and host list.
type Platform struct {
	revisionChanged chan struct{} // closed and replaced at each change, to wake the watches
	counts          PlatformCounts
	events          []kvstore.Event
	faults          PlatformFaults
	hosts           map[string]fleet.Host
	hostListDelay   time.Duration
	keys            map[string]kvstore.KV
	leases          map[int64]*lease
	mu              sync.Mutex
	nextID          int64
	now             func() time.Time
	revision        int64
	server          platformServer
	limiter         rateLimiter
}

// PlatformCounts counts calls by kind. Watches are counted as reads as well.
type PlatformCounts struct {
	Reads    int64
	Rejected int64 // by the rate limit; not counted as reads or writes
	Watches  int64
	Writes   int64
}

// PlatformFaults are the faults that a Platform injects.
type PlatformFaults struct {
	// Delay is the time for which each call waits before it is processed.
	Delay time.Duration
	// Down rejects each call without effect. Watches through Store end at the next change, those over HTTP at once.
	Down bool
	// LostResponses is the number of compare-and-swap writes that take effect and whose response is lost.
	LostResponses int
}

// PlatformOption configures a Platform.
type PlatformOption func(*Platform)

type lease struct {
	expiresAt time.Time
	ttl       time.Duration
}

// rateLimiter is a pair of token buckets, each of which holds the calls of one second.
type rateLimiter struct {
	refilled                time.Time
	readTokens, writeTokens float64
	readsPerSecond          float64
	writesPerSecond         float64
}

// NewPlatform returns an empty store without faults, with the rate limits of the real service.
func NewPlatform(opts ...PlatformOption) *Platform {
	p := &Platform{
		revisionChanged: make(chan struct{}),
		hosts:           map[string]fleet.Host{},
		keys:            map[string]kvstore.KV{},
		leases:          map[int64]*lease{},
		now:             time.Now,
		limiter:         rateLimiter{readsPerSecond: defaultReadsPerSecond, writesPerSecond: defaultWritesPerSecond},
	}
	for _, o := range opts {
		o(p)
	}
	p.limiter.readTokens, p.limiter.writeTokens = p.limiter.readsPerSecond, p.limiter.writesPerSecond
	return p
}

// WithHostListDelay delays each change of the host list; the default is no delay.
func WithHostListDelay(delay time.Duration) PlatformOption {
	return func(p *Platform) { p.hostListDelay = delay }
}

// WithPlatformClock sets the clock of leases and rate limits; the default is time.Now.
func WithPlatformClock(now func() time.Time) PlatformOption {
	return func(p *Platform) { p.now = now }
}

// WithRateLimits sets how many reads and writes per second are accepted; calls beyond that are rejected.
func WithRateLimits(reads, writes float64) PlatformOption {
	return func(p *Platform) { p.limiter.readsPerSecond, p.limiter.writesPerSecond = reads, writes }
}

// Counts returns the numbers of calls so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// RemoveHost removes a host from the host list after the delay of the host list.
func (p *Platform) RemoveHost(id string) {
	p.afterHostListDelay(func() {
		delete(p.hosts, id)
		p.applyChange(kvstore.HostPrefix+id, nil, 0)
	})
}

// SetFaults replaces the injected faults. While Down is set, the server that Start started is closed and its port
// refuses connections; afterwards it listens on the same port again.
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
			panic(err) // another process has taken the port
		}
	}
}

// SetHost adds a host to the host list, or replaces its record, after the delay of the host list.
func (p *Platform) SetHost(h fleet.Host) {
	p.afterHostListDelay(func() {
		p.hosts[h.ID] = h
		value, err := json.Marshal(h)
		if err != nil {
			panic(err) // a Host always marshals
		}
		p.applyChange(kvstore.HostPrefix+h.ID, value, 0)
	})
}

// Store returns access to the store without HTTP, under the same rate limits and faults.
func (p *Platform) Store() kvstore.Store {
	return kvstore.Store{
		Get:            p.get,
		Grant:          p.grant,
		KeepAlive:      p.keepAlive,
		Range:          p.rangePrefix,
		Revoke:         p.revoke,
		CompareAndSwap: p.compareAndSwap,
		Watch:          p.watch,
	}
}

// afterHostListDelay runs the change under mu, at once if no delay is set.
func (p *Platform) afterHostListDelay(change func()) {
	changeLocked := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		change()
	}
	if p.hostListDelay == 0 {
		changeLocked()
		return
	}
	time.AfterFunc(p.hostListDelay, changeLocked)
}

// applyChange sets a key, or deletes it if the value is empty, wakes the watches and returns the new revision; callers
// hold mu.
func (p *Platform) applyChange(key string, value []byte, leaseID int64) int64 {
	p.revision++
	kv := kvstore.KV{Key: key, Lease: leaseID, ModRevision: p.revision, Value: slices.Clone(value)}
	if len(value) == 0 {
		delete(p.keys, key)
	} else {
		p.keys[key] = kv
	}
	p.events = append(p.events, kvstore.Event{Deleted: len(value) == 0, KV: kv})
	close(p.revisionChanged)
	p.revisionChanged = make(chan struct{})
	return p.revision
}

// beginCall waits for the injected delay and counts the call. It returns an error if the service is down or the call
// exceeds the rate limit.
func (p *Platform) beginCall(ctx context.Context, write bool) error {
	p.mu.Lock()
	delay := p.faults.Delay
	p.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return eris.Wrap(kvstore.ErrUnavailable, "context ended during the injected delay, before the call was processed")
		case <-time.After(delay):
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases()
	if p.faults.Down {
		return eris.Wrap(kvstore.ErrUnavailable, "down")
	}
	if !p.limiter.allow(p.now(), write) {
		p.counts.Rejected++
		return eris.Wrap(kvstore.ErrUnavailable, "rate limit exceeded")
	}
	if write {
		p.counts.Writes++
	} else {
		p.counts.Reads++
	}
	return nil
}

// injectLostResponse returns ErrUnknownOutcome if the response of a write is to be lost.
func (p *Platform) injectLostResponse() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LostResponses > 0 {
		p.faults.LostResponses--
		return eris.Wrap(kvstore.ErrUnknownOutcome, "write took effect, response lost by an injected fault")
	}
	return nil
}

// expireLeases deletes the leases whose TTL has passed; callers hold mu. It runs at each call and when a watch wakes,
// not on a timer, so a watch learns of an expired lease at the next call.
func (p *Platform) expireLeases() {
	now := p.now()
	for id, l := range p.leases {
		if now.After(l.expiresAt) {
			p.deleteLease(id)
		}
	}
}

// deleteLease deletes a lease and all keys that are attached to it; callers hold mu.
func (p *Platform) deleteLease(id int64) {
	delete(p.leases, id)
	for key, kv := range p.keys {
		if kv.Lease == id {
			p.applyChange(key, nil, 0)
		}
	}
}

func (p *Platform) get(ctx context.Context, key string) (kvstore.KV, error) {
	if err := p.beginCall(ctx, false); err != nil {
		return kvstore.KV{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	kv := p.keys[key]
	kv.Key = key
	return kv, nil
}

func (p *Platform) grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := p.beginCall(ctx, true); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	p.leases[p.nextID] = &lease{expiresAt: p.now().Add(ttl), ttl: ttl}
	return p.nextID, nil
}

func (p *Platform) keepAlive(ctx context.Context, id int64) error {
	if err := p.beginCall(ctx, true); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leases[id]
	if !ok {
		return eris.Wrapf(kvstore.ErrConflict, "lease %d has run out", id)
	}
	l.expiresAt = p.now().Add(l.ttl)
	return nil
}

func (p *Platform) rangePrefix(ctx context.Context, prefix string) ([]kvstore.KV, int64, error) {
	if err := p.beginCall(ctx, false); err != nil {
		return nil, 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []kvstore.KV
	for key, kv := range p.keys {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	slices.SortFunc(out, func(a, b kvstore.KV) int { return cmp.Compare(a.Key, b.Key) })
	return out, p.revision, nil
}

func (p *Platform) revoke(ctx context.Context, id int64) error {
	if err := p.beginCall(ctx, true); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deleteLease(id)
	return nil
}

// compareAndSwap makes a compare-and-swap call under the rate limits and faults.
func (p *Platform) compareAndSwap(ctx context.Context, key string, expect int64, value []byte, leaseID int64) (int64, error) {
	if len(value) > kvstore.MaxValueBytes {
		return 0, eris.Wrapf(kvstore.ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	if err := p.beginCall(ctx, true); err != nil {
		return 0, err
	}
	rev, err := p.applyCompareAndSwap(key, expect, value, leaseID)
	if err != nil {
		return 0, err
	}
	return rev, p.injectLostResponse()
}

// applyCompareAndSwap sets a key, or deletes it if the value is empty, provided that the key's ModRevision is expect (0
// if the key is absent) and the lease exists. A leaseID of 0 attaches no lease.
func (p *Platform) applyCompareAndSwap(key string, expect int64, value []byte, leaseID int64) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.keys[key].ModRevision; current != expect {
		return 0, eris.Wrapf(kvstore.ErrConflict, "%s is at revision %d, not %d", key, current, expect)
	}
	if _, ok := p.leases[leaseID]; leaseID != 0 && !ok {
		return 0, eris.Wrapf(kvstore.ErrConflict, "lease %d has run out", leaseID)
	}
	return p.applyChange(key, value, leaseID), nil
}

// watch passes the events after revision since to each, until the context ends or the service is down.
func (p *Platform) watch(ctx context.Context, prefix string, since int64, each func([]kvstore.Event)) error {
	if err := p.beginCall(ctx, false); err != nil {
		return err
	}
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		p.expireLeases()
		var events []kvstore.Event
		from, _ := slices.BinarySearchFunc(p.events, since+1, func(e kvstore.Event, revision int64) int {
			return cmp.Compare(e.KV.ModRevision, revision)
		})
		for _, e := range p.events[from:] {
			if strings.HasPrefix(e.KV.Key, prefix) {
				events = append(events, e)
			}
		}
		since = p.revision
		revisionChanged, down := p.revisionChanged, p.faults.Down
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
		case <-revisionChanged:
		}
	}
}

// allow refills both buckets up to now and takes a token for the call. It returns false if none is left.
func (r *rateLimiter) allow(now time.Time, write bool) bool {
	if !r.refilled.IsZero() {
		elapsed := now.Sub(r.refilled).Seconds()
		r.readTokens = min(r.readsPerSecond, r.readTokens+elapsed*r.readsPerSecond)
		r.writeTokens = min(r.writesPerSecond, r.writeTokens+elapsed*r.writesPerSecond)
	}
	r.refilled = now
	tokens := &r.readTokens
	if write {
		tokens = &r.writeTokens
	}
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}
