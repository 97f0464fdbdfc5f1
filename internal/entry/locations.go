package entry

import "sync"

// maxLocations limits the location cache to about a megabyte; locations that are not cached are read from the store.
const maxLocations = 8192

// locationCache caches the shards and final states of jobs. It evicts the oldest entry first.
type locationCache struct {
	byID map[string]jobRecord
	mu   sync.Mutex
	// next is the index in order of the entry that is evicted next.
	next int
	// order is a ring of the job ids in the order in which they were added.
	order []string
}

func newLocationCache() *locationCache {
	return &locationCache{byID: map[string]jobRecord{}, order: make([]string, maxLocations)}
}

func (c *locationCache) get(id string) (jobRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.byID[id]
	return record, ok
}

// remove deletes the entry of a job. Its place in the eviction order is reused when its turn comes.
func (c *locationCache) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byID, id)
}

// put adds the location of a job, or updates one that is not final.
func (c *locationCache) put(id string, location jobRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.byID[id]; ok {
		if !old.State.IsFinal() {
			c.byID[id] = location
		}
		return
	}
	if old := c.order[c.next]; old != "" {
		delete(c.byID, old)
	}
	c.order[c.next], c.byID[id] = id, location
	c.next = (c.next + 1) % len(c.order)
}
