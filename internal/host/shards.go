package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/explain"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/idempotency"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/retry"
)

// Timing of contention for shards.
const (
	contendInterval = 500 * time.Millisecond
	// heartbeatValidity is how long a heartbeat counts as current. While a peer's heartbeat says that it owns a
	// shard, the store is not read.
	heartbeatValidity = 3 * time.Second
	// ownerValidity is how long requests are sent to a shard's owner after its last heartbeat.
	ownerValidity = 2 * heartbeatValidity
	adoptAfter    = 60 * time.Second
	shardPrefix   = "shards/"
	zonePrefix    = "zones/"
)

// shardRecord names the owner of a shard. It stays when the owner is gone, so that epochs only increase.
type shardRecord struct {
	Epoch int64  `json:"epoch"`
	Owner string `json:"owner,omitempty"`
	// Successor is the host to which the last owner hands the shard over. Other hosts leave the shard to it for a while.
	Successor string `json:"successor,omitempty"`
}

// shards manages the shards that the host owns and tracks the owners that peers report.
type shards struct {
	shardCounts map[string]int // by zone
	// received is the key tables that earlier owners handed over to this host.
	received map[fleet.ShardID]receivedKeys
	host     *Host
	mu       sync.Mutex
	owned    map[fleet.ShardID]*ownedShard
	// lastOwners is the last reported owner of each shard.
	lastOwners map[fleet.ShardID]ownerInfo
	moves      *shardMoves
	// partial is the key tables of which the last part has not been received.
	partial    map[fleet.ShardID]receivedKeys
	rebalancer *rebalancer
	// requestHandover sends one handover message to an entry host and waits for its reply.
	requestHandover func(ctx context.Context, to string, m peer.Handover) error
	// takeovers is held during a takeover, since a shard can be claimed and handed to this host at once.
	takeovers sync.Mutex
	// verified is the last proof that this host owned each shard.
	verified map[fleet.ShardID]ownershipProof
}

type ownedShard struct {
	cancel context.CancelFunc
	done   chan struct{}
	// err is why the owner ended, nil after a handover. It may be read once done is closed.
	err   error
	owner *shardOwner
}

// receivedKeys is the key table that the owner of an epoch handed over, with the number of parts received so far.
type receivedKeys struct {
	epoch int64
	keys  keyTransfer
	parts int
}

// ownerInfo is what a peer's heartbeat says of a shard that the peer owns.
type ownerInfo struct {
	seenAt      time.Time
	epoch       int64
	freePercent int
	host        string
	servingKeys bool
}

func newShards(h *Host) *shards {
	return &shards{
		shardCounts: map[string]int{},
		received:    map[fleet.ShardID]receivedKeys{},
		host:        h,
		owned:       map[fleet.ShardID]*ownedShard{},
		lastOwners:  map[fleet.ShardID]ownerInfo{},
		moves:       newShardMoves(),
		partial:     map[fleet.ShardID]receivedKeys{},
		rebalancer:  newRebalancer(),
		requestHandover: func(ctx context.Context, to string, m peer.Handover) error {
			_, err := h.mesh.Request(ctx, to, peer.Message{Handover: &m})
			return err
		},
		verified: map[fleet.ShardID]ownershipProof{},
	}
}

func (s *shards) shardCount(zone string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.shardCounts[zone], 1)
}

func (s *shards) get(id fleet.ShardID) (*shardOwner, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owned[id]
	if !ok {
		return nil, false
	}
	return o.owner, true
}

func (s *shards) all() []*shardOwner {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*shardOwner
	for _, o := range s.owned {
		out = append(out, o.owner)
	}
	return out
}

// recordOwner records that a peer says it owns a shard, and reports whether its epoch is new. If two peers say so,
// the higher epoch counts.
func (s *shards) recordOwner(id fleet.ShardID, w ownerInfo) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.lastOwners[id].epoch
	if w.epoch >= have {
		s.lastOwners[id] = w
	}
	return w.epoch > have
}

// ownerOf returns the last reported owner of a shard if the report is recent.
func (s *shards) ownerOf(id fleet.ShardID) (ownerInfo, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.lastOwners[id]
	return w, ok && time.Since(w.seenAt) < ownerValidity
}

// run contends for the zone's shards, and hands some over to less loaded hosts, until ctx ends.
func (s *shards) run(ctx context.Context) {
	retry.Sleep(ctx, s.host.startDelay())
	var lastAdoption time.Time
	for ctx.Err() == nil {
		if err := s.loadShardCounts(ctx); err == nil && !s.host.isDraining() {
			for i := range s.shardCount(s.host.zone) {
				s.contend(ctx, fleet.ShardID{Index: i, Zone: s.host.zone})
			}
			if time.Since(lastAdoption) > adoptAfter/3 {
				lastAdoption = time.Now()
				s.adopt(ctx)
			}
			s.rebalance(time.Now())
		}
		retry.Sleep(ctx, jitter(2*contendInterval))
	}
}

// loadShardCounts reads the number of shards of each zone, unless all are known. The first host of a zone writes the number
// from its settings, so that of a zone that starts later than this host appears only then. Errors are returned while the
// number of this host's zone is unknown.
func (s *shards) loadShardCounts(ctx context.Context) error {
	isOwnKnown, areOthersKnown := s.knownShardCounts()
	if isOwnKnown && areOthersKnown {
		return nil
	}
	store := s.host.storeFor(kvstore.ClassOwnership)
	if !isOwnKnown {
		value := []byte(strconv.Itoa(s.host.settings.ZoneSettings.Shards))
		_, err := store.CompareAndSwap(ctx, zonePrefix+s.host.zone, 0, value, 0)
		if err != nil && !errors.Is(err, kvstore.ErrConflict) {
			return err
		}
	}
	kvs, _, err := store.Range(ctx, zonePrefix)
	if err != nil && isOwnKnown {
		return nil // the next round reads the numbers of the other zones
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kv := range kvs {
		n, err := strconv.Atoi(string(kv.Value))
		if err != nil || n < 1 {
			return eris.Errorf("%s holds %q, not a number of shards", kv.Key, kv.Value)
		}
		s.shardCounts[kv.Key[len(zonePrefix):]] = n
	}
	return nil
}

// knownShardCounts reports whether the number of shards is known of this host's zone, and of all other zones with entry
// hosts.
func (s *shards) knownShardCounts() (own, others bool) {
	hosts := s.host.hosts.snapshot().EntryHosts("")
	s.mu.Lock()
	defer s.mu.Unlock()
	missing := slices.ContainsFunc(hosts, func(h fleet.Host) bool { return s.shardCounts[h.Zone] == 0 })
	return s.shardCounts[s.host.zone] != 0, !missing
}

// contend takes over a shard whose owner is gone. Hosts wait in an order that differs from shard to shard, and hosts
// that own shards wait longer, so that shards spread over the hosts and few writes conflict.
func (s *shards) contend(ctx context.Context, id fleet.ShardID) {
	if _, ok := s.get(id); ok || s.moves.isActive(id) {
		return
	}
	if w, ok := s.ownerOf(id); ok && time.Since(w.seenAt) < heartbeatValidity {
		return
	}
	rec, mod, err := s.read(ctx, id)
	if err != nil || s.hasLiveOwner(ctx, rec) {
		return
	}
	if rec.Successor != "" && rec.Successor != s.host.id {
		retry.Sleep(ctx, successorDelay)
	}
	retry.Sleep(ctx, time.Duration(s.rank(id))*contendInterval/2+time.Duration(len(s.all()))*contendInterval)
	s.takeOver(ctx, id, rec, mod)
}

// hasLiveOwner reports whether the recorded owner is another host whose live key exists or can't be read.
func (s *shards) hasLiveOwner(ctx context.Context, rec shardRecord) bool {
	if rec.Owner == "" || rec.Owner == s.host.id {
		return false
	}
	kv, err := s.host.storeFor(kvstore.ClassOwnership).Get(ctx, livePrefix+rec.Owner)
	return err != nil || kv.ModRevision != 0
}

func (s *shards) rank(id fleet.ShardID) int {
	own, rank := rendezvousHash(s.host.id, id), 0
	for _, p := range s.host.mesh.Zone(s.host.zone) {
		if rendezvousHash(p.Host, id) > own {
			rank++
		}
	}
	return rank
}

func rendezvousHash(host string, id fleet.ShardID) uint32 {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s %s", host, id)
	return h.Sum32()
}

func (s *shards) read(ctx context.Context, id fleet.ShardID) (shardRecord, int64, error) {
	kv, err := s.host.storeFor(kvstore.ClassOwnership).Get(ctx, shardPrefix+id.String())
	if err != nil || kv.ModRevision == 0 {
		return shardRecord{}, 0, err
	}
	var rec shardRecord
	err = json.Unmarshal(kv.Value, &rec)
	return rec, kv.ModRevision, eris.Wrapf(err, "shard %s", id)
}

// takeOver records this host as the shard's owner under the next epoch and starts the owner, unless one runs already.
func (s *shards) takeOver(ctx context.Context, id fleet.ShardID, rec shardRecord, mod int64) {
	s.takeovers.Lock()
	defer s.takeovers.Unlock()
	if _, ok := s.get(id); ok {
		return
	}
	if !s.host.session.isValid(time.Now()) || s.host.isDraining() {
		return
	}
	next := shardRecord{Epoch: rec.Epoch + 1, Owner: s.host.id}
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	renewed, lease := s.host.session.current()
	_, err = s.host.storeFor(kvstore.ClassOwnership).CompareAndSwap(ctx, shardPrefix+id.String(), mod, value, 0)
	if errors.Is(err, kvstore.ErrUnknownOutcome) {
		// Only this process can have written this epoch: another one with this host id would hold the live key.
		have, _, readErr := s.read(ctx, id)
		if readErr != nil || have != next {
			return
		}
	} else if err != nil {
		return
	}
	s.host.decisions.Add(explain.Decision{
		Decision: "take_shard", Reason: fmt.Sprintf("%s; epoch %d", takeoverReason(rec), next.Epoch), Work: "",
		Zone: id.Zone, Task: "shard/" + id.String(),
	})
	s.startOwner(id, next.Epoch, ownershipProof{at: renewed, lease: lease})
}

func takeoverReason(rec shardRecord) string {
	if rec.Owner == "" {
		return "shard has no owner"
	}
	return "owner " + rec.Owner + " is gone"
}

func (s *shards) startOwner(id fleet.ShardID, epoch int64, verified ownershipProof) {
	ctx, cancel := context.WithCancel(s.host.ownerContext())
	o := &ownedShard{cancel: cancel, done: make(chan struct{}), owner: newShardOwner(s.host, id, epoch)}
	table := idempotency.NewTable(idempotency.DefaultLimits())
	s.inheritKeys(id, epoch, table)
	s.host.keyTables.put(id, epoch, table)
	s.mu.Lock()
	s.owned[id] = o
	s.verified[id] = verified
	s.mu.Unlock()
	s.host.mesh.BroadcastHeartbeat()
	go func() {
		defer close(o.done)
		defer cancel()
		o.err = o.owner.run(ctx)
		s.mu.Lock()
		if s.owned[id] == o {
			delete(s.owned, id)
		}
		s.mu.Unlock()
		if !s.host.isDraining() && (o.err != nil || !s.moves.isActive(id)) {
			s.host.keyTables.remove(id, epoch) // a handover needs the table until its keys are handed over
		}
		if o.err != nil && !errors.Is(o.err, context.Canceled) {
			s.host.decisions.Add(explain.Decision{
				Decision: "lose_shard", Reason: o.err.Error(), Task: "shard/" + id.String(), Zone: id.Zone,
			})
		}
	}()
}
