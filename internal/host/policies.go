package host

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/routing"
)

const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
	// defaultHedgeDelay is the hedge delay of a service until enough of its response times are known.
	defaultHedgeDelay = 500 * time.Millisecond
)

// policies holds the router and the response times of each service, and the backoff and retry budget that all
// services share.
type policies struct {
	backoff     *retry.Backoff
	retryBudget *retry.Budget
	latencies   map[string]*retry.Latency
	mu          sync.Mutex
	routers     map[string]*routing.Router
	zone        string
}

func newPolicies(h *Host) *policies {
	return &policies{
		backoff:     retry.NewBackoff(initialBackoff, maxBackoff, rand.Uint64()),
		retryBudget: retry.NewBudget(time.Now()),
		latencies:   map[string]*retry.Latency{},
		routers:     map[string]*routing.Router{},
		zone:        h.zone,
	}
}

// retain deletes the state of work that is no longer in force.
func (p *policies) retain(c note.Catalogue) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for work := range p.routers {
		if _, ok := c.Item(work); !ok {
			delete(p.routers, work)
			delete(p.latencies, work)
		}
	}
}

func (p *policies) latency(work string) *retry.Latency {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.latencies[work]
	if l == nil {
		l = retry.NewLatency(defaultHedgeDelay)
		p.latencies[work] = l
	}
	return l
}

func (p *policies) router(work string) *routing.Router {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routers[work]
	if r == nil {
		r = routing.NewRouter(p.zone, routing.WithSeed(rand.Uint64()))
		p.routers[work] = r
	}
	return r
}
