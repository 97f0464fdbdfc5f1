package integration_test

import (
	"context"
	"encoding/json"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// releasedShard is the record of a shard that its owner hands over to another host.
type releasedShard struct {
	Owner     string `json:"owner"`
	Successor string `json:"successor"`
}

// onRelease calls f once, with the successor, as soon as a shard of the zone is released to one. It returns a channel that is
// closed after the call.
func (c *cluster) onRelease(zone string, f func(successor string)) <-chan struct{} {
	done := make(chan struct{})
	var once sync.Once
	go func() {
		_ = c.platform.Store().Watch(c.t.Context(), "shards/"+zone+"/", 0, func(events []kvstore.Event) {
			for _, e := range events {
				var r releasedShard
				if json.Unmarshal(e.KV.Value, &r) == nil && r.Owner == "" && r.Successor != "" {
					once.Do(func() {
						f(r.Successor)
						close(done)
					})
				}
			}
		})
	}()
	return done
}

// Guards against a request that runs twice, and against a shard that stays without an owner, if the host that hands a shard over,
// or the one that is to take it, is killed as soon as the shard is released.
func TestHostKilledWhileShardMoves(t *testing.T) {
	startParallel(t)
	for name, killsOwner := range map[string]bool{"owner": true, "successor": false} {
		t.Run(name, func(t *testing.T) {
			startParallel(t)
			c := startCluster(t, clusterConfig{
				serviceTime: 300 * time.Millisecond, settings: "[zone_settings]\nshards = 2\n", zones: []zoneSize{{"wattala", 1, 4}},
			})
			owner := c.entries[0]
			var requests []*keyedRequest
			for range requestsPerTest {
				requests = append(requests, &keyedRequest{id: ulid.Make().String(), key: newKey("wattala")})
			}
			sendAll(c, requests[:requestsPerTest/2], owner)
			successor := c.addEntry("wattala-entry-2", "wattala")
			victim, survivor := owner, successor
			if !killsOwner {
				victim, survivor = successor, owner
			}
			killed := c.onRelease("wattala", func(id string) {
				_ = victim.process.Process.Signal(syscall.SIGKILL)
				c.t.Logf("killed %s while a shard moved to %s", victim.id, id)
			})
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			for isKilled := false; !isKilled && ctx.Err() == nil; {
				sendAll(c, requests, owner)
				select {
				case <-killed:
					isKilled = true
				default:
				}
			}
			if ctx.Err() != nil {
				t.Fatal("no shard was handed over")
			}
			sendAll(c, requests, survivor)
			eventually(t, "keys of both shards are served", func() error {
				for range 10 {
					if err := c.send(survivor, "orders", newKey("wattala")).checkDone(); err != nil {
						return err
					}
				}
				return nil
			})
			sendAll(c, requests, survivor)
			c.checkReplies(t, requests)
		})
	}
}
