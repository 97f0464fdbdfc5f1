package entry

import "sync"

// shardSet is the set of shards for which something is under way, one at a time for each shard.
type shardSet struct {
	active map[int]bool
	// isClosed is set once nothing further may begin.
	isClosed bool
	mu       sync.Mutex
	running  sync.WaitGroup
}

func newShardSet() shardSet { return shardSet{active: map[int]bool{}} }

// begin marks a shard. It returns false if it is marked already, or if nothing further may begin.
func (s *shardSet) begin(shard int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.add(shard)
}

// add adds a shard. It returns false if the set has it already or is closed. The caller holds s.mu.
func (s *shardSet) add(shard int) bool {
	if s.isClosed || s.active[shard] {
		return false
	}
	s.active[shard] = true
	s.running.Add(1)
	return true
}

func (s *shardSet) end(shard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, shard)
	s.running.Done()
}

func (s *shardSet) isActive(shard int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active[shard]
}

// finish lets nothing further begin and waits until nothing is under way.
func (s *shardSet) finish() {
	s.mu.Lock()
	s.isClosed = true
	s.mu.Unlock()
	s.running.Wait()
}
