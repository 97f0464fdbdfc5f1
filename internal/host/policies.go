package host

import (
	"sync"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/routing"
)

// policies holds what an entry host has learned for each service, and the budgets that all share.
type policies struct {
	hedges  *retry.Hedger
	mu      sync.Mutex
	retries *retry.Budget
	routers map[string]*routing.Router
	zone    string
}

func newPolicies(h *Host) *policies {
	return &policies{
		hedges: retry.NewHedger(), retries: retry.NewBudget(), routers: map[string]*routing.Router{}, zone: h.zone,
	}
}

// retain drops what was learned about work that is no longer in force.
func (p *policies) retain(c note.Catalogue) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for work := range p.routers {
		if _, ok := c.Item(work); !ok {
			delete(p.routers, work)
		}
	}
}

func (p *policies) router(work string) *routing.Router {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routers[work]
	if r == nil {
		r = routing.NewRouter(p.zone, routing.WithSeed(uint64(time.Now().UnixNano())))
		p.routers[work] = r
	}
	return r
}
