package host

import (
	"context"
	"strings"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// adopt contends for the shards of zones that have had no live entry host for adoptAfter.
func (s *shards) adopt(ctx context.Context) {
	kvs, _, err := s.host.storeFor(kvstore.ClassReads).Range(ctx, livePrefix)
	if err != nil {
		s.host.zoneEmptySince = map[string]time.Time{} // the live hosts are unknown, so no zone is adopted
		return
	}
	live := map[string]bool{}
	hosts := s.host.hosts.snapshot()
	for _, kv := range kvs {
		if h, ok := hosts.Host(strings.TrimPrefix(kv.Key, livePrefix)); ok {
			live[h.Zone] = true
		}
	}
	if !s.hasLowestLiveID(kvs) {
		return
	}
	for _, zone := range hosts.Zones() {
		if live[zone] || len(hosts.Workers(zone)) == 0 {
			delete(s.host.zoneEmptySince, zone)
			continue
		}
		since, ok := s.host.zoneEmptySince[zone]
		if !ok {
			s.host.zoneEmptySince[zone] = time.Now()
			continue
		}
		if time.Since(since) < adoptAfter {
			continue
		}
		for i := range s.shardCount(zone) {
			s.contend(ctx, fleet.ShardID{Index: i, Zone: zone})
		}
	}
}

// hasLowestLiveID reports whether this host has the lowest id of all live hosts. Only that host adopts shards, so
// that hosts of several zones do not contend for them.
func (s *shards) hasLowestLiveID(kvs []kvstore.KV) bool {
	return len(kvs) > 0 && kvs[0].Key == livePrefix+s.host.id
}
