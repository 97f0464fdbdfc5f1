package entry

import (
	"sync"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// maxPlacements bounds the memory of where jobs live to about a megabyte; what is forgotten is read from the store.
const maxPlacements = 8192

// placements remembers where jobs live; the oldest are forgotten first.
type placements struct {
	byID  map[string]workflow.Placed
	mu    sync.Mutex
	next  int
	order []string
}

func newPlacements() *placements {
	return &placements{byID: map[string]workflow.Placed{}, order: make([]string, maxPlacements)}
}

func (p *placements) get(id string) (workflow.Placed, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.byID[id]
	return at, ok
}

// remove forgets a job; its place in the order is taken by a later one in turn.
func (p *placements) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byID, id)
}

func (p *placements) put(id string, at workflow.Placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.byID[id]; ok {
		if !old.State.IsFinal() {
			p.byID[id] = at
		}
		return
	}
	if old := p.order[p.next]; old != "" {
		delete(p.byID, old)
	}
	p.order[p.next], p.byID[id] = id, at
	p.next = (p.next + 1) % len(p.order)
}
