package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// leaseCheckInterval is how often the tests check that a host relies on its lease.
const leaseCheckInterval = 5 * time.Millisecond

// decisionLog is a hook that notes the decisions of hosts.
type decisionLog struct {
	decisions []string
	mu        sync.Mutex
}

func (*decisionLog) Levels() []logrus.Level { return logrus.AllLevels }

func (l *decisionLog) Fire(e *logrus.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decisions = append(l.decisions, fmt.Sprint(e.Data["decision"]))
	return nil
}

func (l *decisionLog) count(decision string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, d := range l.decisions {
		if d == decision {
			n++
		}
	}
	return n
}

// queuedRenewal renews a lease once the host has processor time for the call.
func (s *memoryStore) queuedRenewal(ctx context.Context, h *simulatedHost, lease int64) error {
	h.use(ctx, recordCost)
	return h.callStore(ctx, kvstore.ErrUnavailable, func() error { return s.keepAlive(lease) })
}

// queuedAnswer renews a lease at once; the host reads the answer once it has processor time.
func (s *memoryStore) queuedAnswer(ctx context.Context, h *simulatedHost, lease int64) error {
	err := h.callStore(ctx, kvstore.ErrUnavailable, func() error { return s.keepAlive(lease) })
	h.use(ctx, recordCost)
	if ctx.Err() != nil {
		return kvstore.ErrUnavailable
	}
	return err
}

// keepBusy lets each use of a host's processor wait about as long as given, until the function that it returns is called.
func (h *simulatedHost) keepBusy(wait time.Duration) (stop func()) {
	const others = 40
	ctx, cancel := context.WithCancel(h.fleet.t.Context())
	for range others {
		go func() {
			for ctx.Err() == nil {
				h.use(ctx, time.Duration(float64(wait)*h.strength)/others)
			}
		}()
	}
	return cancel
}

// unreliableFor returns for how long a host does not rely on its lease within a span.
func (h *simulatedHost) unreliableFor(span time.Duration) time.Duration {
	var out time.Duration
	for range span / leaseCheckInterval {
		time.Sleep(leaseCheckInterval)
		if lease, expires := h.daemon.Lease(); lease == 0 || !time.Now().Before(expires) {
			out += leaseCheckInterval
		}
	}
	return out
}

// Guards against a host that gives up each attempt to renew its lease before the attempt has its turn, or before the host has read
// the answer, so that the lease ends and all shards of the host have no owner, although the store answers at once. Guards also
// against a host that takes such delays for a store that can't be reached.
func TestBusyHostKeepsItsLease(t *testing.T) {
	for _, wait := range []time.Duration{500 * time.Millisecond, 800 * time.Millisecond, time.Second} {
		for name, renewal := range map[string]func(*memoryStore) func(context.Context, *simulatedHost, int64) error{
			"call":   func(s *memoryStore) func(context.Context, *simulatedHost, int64) error { return s.queuedRenewal },
			"answer": func(s *memoryStore) func(context.Context, *simulatedHost, int64) error { return s.queuedAnswer },
		} {
			t.Run(fmt.Sprintf("%s waits %s", name, wait), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
					decisions := &decisionLog{}
					f.logHook = decisions
					f.store.setRenewalFault(renewal(f.store))
					h := f.start("one", strongHost)
					time.Sleep(3 * time.Second)
					began := time.Now()
					stop := h.keepBusy(wait)
					unreliable := h.unreliableFor(30 * time.Second)
					assert.Check(t, unreliable == 0, "the host did not rely on its lease for %s", unreliable)
					assert.Check(t, f.ownerHistory(began) == "", "owners: %s", f.ownerHistory(began))
					// The first line is of the first lease; two more if the first attempt after the wait has begun looks like silence.
					changes := decisions.count("store_health")
					assert.Check(t, changes <= 3, "the store's health changed %d times", changes)
					stop()
					f.kill("one")
					time.Sleep(contactTime) // background calls of the host end
				})
			})
		}
	}
}

// Guards against a host whose calls all wait for longer than its lease lasts, and whose renewals go on all the same: its lease would
// last in the store, and with it its shards, although the host can never rely on it.
func TestHostThatIsTooBusyLeavesItsShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.store.setRenewalFault(f.store.queuedRenewal)
		h := f.start("one", strongHost)
		time.Sleep(3 * time.Second)
		began := time.Now()
		var stops []func()
		for range 3 { // the store gets renewals in time while the wait grows
			stops = append(stops, h.keepBusy(800*time.Millisecond))
			time.Sleep(3 * time.Second)
		}
		assert.Check(t, f.owners()["one"] == 0, "owners: %s", f.ownerHistory(began))
		for _, stop := range stops {
			stop()
		}
		f.kill("one")
		time.Sleep(contactTime) // background calls of the host end
	})
}
