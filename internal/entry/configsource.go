package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/retry"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// configPoll is how often a host that the store does not answer asks its peers for a newer config.
const configPoll = 400 * time.Millisecond

// inForce is a config together with the bytes that it was read from.
type inForce struct {
	config workflow.Config
	data   []byte
}

// configSource keeps the newest config that the host has seen.
type configSource struct {
	current  atomic.Pointer[inForce]
	decode   func([]byte) (workflow.Config, error)
	key      string
	log      *logrus.Entry
	onChange func(workflow.Config)
}

func (c *configSource) config() workflow.Config {
	if f := c.current.Load(); f != nil {
		return f.config
	}
	return workflow.Config{}
}

func (c *configSource) run(ctx context.Context, s kvstore.Store) {
	follow(ctx, s, c.log, c.key, func(kvs []kvstore.KV) {
		for _, kv := range kvs {
			c.offer(kv.Key, kv.Value, "store")
		}
	}, func(events []kvstore.Event) {
		for _, ev := range events {
			if !ev.Deleted {
				c.offer(ev.KV.Key, ev.KV.Value, "store")
			}
		}
	})
}

// offer puts a config in force if it is newer than the present one; versions never go back.
func (c *configSource) offer(key string, data []byte, source string) {
	if key != c.key {
		return
	}
	next, err := c.decode(data)
	if err != nil {
		c.log.WithError(err).WithFields(logrus.Fields{"decision": "config_refused", "source": source}).
			Error("config can't be read; the one in force stays")
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
		if c.current.CompareAndSwap(old, &inForce{config: next, data: data}) {
			c.log.WithFields(logrus.Fields{
				"decision": "config_in_force", "version": next.Version, "before": before, "source": source,
				"queues": len(next.Queues),
			}).Info("config is in force")
			c.onChange(next)
			return
		}
	}
}

// askPeers asks other hosts for a newer config while the store does not answer this one.
func (h *Host) askPeers(ctx context.Context) {
	for ctx.Err() == nil {
		retry.Sleep(ctx, configPoll)
		if _, expires := h.session.lasting(); h.now().Before(expires) {
			continue
		}
		h.askOnePeer(ctx)
	}
}

func (h *Host) askOnePeer(ctx context.Context) {
	peers := h.directory.peers(h.self)
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, configPoll)
	defer cancel()
	p := peers[h.random(len(peers))]
	reply, err := h.pool.Request(ctx, p.Peer, peer.Message{ConfigQuery: &peer.ConfigQuery{Version: h.config.config().Version}})
	if err != nil || reply.ConfigReply == nil {
		return // the next poll asks another peer
	}
	if data := reply.ConfigReply.Data; len(data) > 0 {
		h.config.offer(h.config.key, data, "peer "+p.Host)
	}
}
