package entry

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/evacuation"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// configPollInterval is how often a host that can't reach the store asks a peer for a newer config.
const configPollInterval = 400 * time.Millisecond

// activeConfig is a decoded config with its encoded form, which is sent to peers.
type activeConfig struct {
	config workflow.Config
	data   []byte
}

// configSource holds the newest config that the host has seen.
type configSource struct {
	current atomic.Pointer[activeConfig]
	decode  func([]byte) (workflow.Config, error)
	// evacuations holds the evacuated zones, which come with the config.
	evacuations *evacuation.Source
	key         string
	log         *logrus.Entry
	onChange    func(workflow.Config)
	// prefix is the prefix of the operator's keys.
	prefix string
}

// newConfigSource returns the source of what the operator writes into the store.
func newConfigSource(p Platform, log *logrus.Entry, shards *ownedShards) *configSource {
	return &configSource{
		decode:      p.DecodeConfig,
		evacuations: evacuation.NewSource(p.EvacuationPrefix, p.DecodeEvacuation, log, shards.evacuationsChanged),
		key:         p.ConfigKey, log: log, onChange: shards.configChanged, prefix: cmp.Or(p.OperatorPrefix, p.ConfigKey),
	}
}

// isKnown reports whether there is a config and it is known which zones are evacuated.
func (c *configSource) isKnown() bool { return c.current.Load() != nil && c.evacuations.IsKnown() }

func (c *configSource) config() workflow.Config {
	if active := c.current.Load(); active != nil {
		return active.config
	}
	return workflow.Config{}
}

func (c *configSource) run(ctx context.Context, s kvstore.Store) {
	watchPrefix(ctx, s, c.log, c.prefix, func(kvs []kvstore.KV, revision int64) {
		c.evacuations.Load(kvs, revision)
		for _, kv := range kvs {
			c.activateIfNewer(kv.Key, kv.Value, "store")
		}
	}, func(events []kvstore.Event) {
		c.evacuations.Apply(events)
		for _, ev := range events {
			if !ev.Deleted {
				c.activateIfNewer(ev.KV.Key, ev.KV.Value, "store")
			}
		}
	})
}

// activateIfNewer decodes a config and makes it the active one if its version is higher; versions never go back.
func (c *configSource) activateIfNewer(key string, data []byte, source string) {
	if key != c.key {
		return
	}
	next, err := c.decode(data)
	if err != nil {
		c.log.WithError(err).WithFields(logrus.Fields{"decision": "config_refused", "source": source}).
			Error("rejected malformed config; the active one stays in force")
		return
	}
	for {
		old := c.current.Load()
		before := int64(0)
		if old != nil {
			before = old.config.Version
		}
		if next.Version <= before {
			return
		}
		if c.current.CompareAndSwap(old, &activeConfig{config: next, data: data}) {
			c.log.WithFields(logrus.Fields{
				"decision": "config_in_force", "version": next.Version, "before": before, "source": source,
				"queues": len(next.Queues),
			}).Info("activated new config")
			c.onChange(next)
			return
		}
	}
}

// pollPeersForConfig asks other hosts for a newer config while this host has no valid lease in the store.
func (h *Host) pollPeersForConfig(ctx context.Context) {
	for ctx.Err() == nil {
		retry.Sleep(ctx, configPollInterval)
		if _, expires := h.session.currentLease(); h.now().Before(expires) {
			continue
		}
		h.fetchConfigFromPeer(ctx)
	}
}

func (h *Host) fetchConfigFromPeer(ctx context.Context) {
	peers := h.directory.peers(h.self)
	if len(peers) == 0 {
		return
	}
	ctx, cancel := withTimeout(ctx, configPollInterval)
	defer cancel()
	p := peers[h.random(len(peers))]
	reply, err := h.request(ctx, p.PeerAddress, peer.Message{
		ConfigQuery: &peer.ConfigQuery{Evacuations: h.config.evacuations.Revision(), Version: h.config.config().Version},
	})
	if err != nil || reply.ConfigReply == nil {
		return // the next poll asks another peer
	}
	h.config.evacuations.Merge(reply.ConfigReply.Evacuations, p.Host)
	if data := reply.ConfigReply.Data; len(data) > 0 {
		h.config.activateIfNewer(h.config.key, data, "peer "+p.Host)
	}
}
