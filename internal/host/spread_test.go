package host_test

import (
	"fmt"
	"testing"
)

// Guards against a host that keeps all shards of its zone because it was the only one for a while, for example the first
// after an outage of the zone longer than the platform lease, while the others own none.
func TestShardsSpreadOverHostsThatReturn(t *testing.T) {
	c := newCluster(t)
	c.shards = 4
	a := c.start("a", c.url)
	waitUntil(t, "a owns all shards", func() error { return ownsShards(a, c.shards) })
	others := []*entryHost{c.start("b", c.url), c.start("c", c.url), c.start("d", c.url)}
	waitUntil(t, "each host owns a shard", func() error {
		for _, e := range append(others, a) {
			if err := ownsShards(e, 1); err != nil {
				return err
			}
		}
		return nil
	})
}

func ownsShards(e *entryHost, n int) error {
	if got := e.host.OwnedShards(); got != n {
		return fmt.Errorf("the host owns %d shards, not %d", got, n)
	}
	return nil
}
