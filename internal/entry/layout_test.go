package entry_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
)

// Guards against a number of shards that is derived from the few hosts that start first. It never changes afterwards, so shards
// would be as small as the weakest hosts need them, or too large for hosts that start later.
func TestLayoutWaitsForHostsThatStart(t *testing.T) {
	strengths := []float64{0.05, 0.05, 1, 1, 1}
	for name, tc := range map[string]struct {
		interval time.Duration
		want     int
	}{
		"all at once":                        {0, 2},
		"one after the other":                {600 * time.Millisecond, 2},
		"still starting after 5 s":           {900 * time.Millisecond, 2},
		"no wait for hosts that start later": {time.Hour, 7},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started, shards := time.Now(), 0
				h := newHost(0.05, kvstore.Store{
					Range: func(context.Context, string) ([]kvstore.KV, int64, error) { return make([]kvstore.KV, 350), 1, nil },
					Txn: func(_ context.Context, t kvstore.Txn) (res kvstore.TxnResult, err error) {
						shards, err = entry.LayoutShards(t.Puts[0].Value)
						return res, err
					},
				})
				for i, strength := range strengths {
					time.AfterFunc(time.Duration(i+1)*tc.interval, func() { h.AddHost(string(rune('a'+i)), strength) })
				}
				for shards == 0 && time.Since(started) < time.Minute {
					time.Sleep(entry.ElectionInterval)
					h.CreateLayout(t.Context())
				}
				assert.Equal(t, shards, tc.want)
				assert.Assert(t, time.Since(started) < 5500*time.Millisecond, "layout after %s", time.Since(started))
			})
		})
	}
}

// Guards against a number of shards that is derived from the few hosts that register first after an outage of the store: neither the
// time in which a host could not read the store, nor a number of hosts that was seen before, shows that all hosts have started.
func TestLayoutWaitsForHostsThatRegisterAfterOutage(t *testing.T) {
	const outageEnd = 6 * time.Second
	for name, outageStart := range map[string]time.Duration{
		"store down from the start": 0, "store down after the first read": 500 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, 1, 1, 60)
				key, _ := entry.LayoutRecord(1, nil)
				_, err := f.store.txn(kvstore.Txn{Deletes: []string{key}})
				assert.NilError(t, err)
				f.store.setDown(outageStart == 0)
				f.start("self", 0.08)
				time.Sleep(outageStart)
				f.store.setDown(true)
				time.Sleep(outageEnd - outageStart)
				f.store.setDown(false)
				for i, strength := range []float64{0.08, 1, 1, 1} {
					time.Sleep(600 * time.Millisecond)
					f.start(fmt.Sprint("host-", i), strength)
				}
				started := time.Now()
				kvs, _ := f.store.readRange(key)
				for len(kvs) == 0 && time.Since(started) < 3*time.Second {
					time.Sleep(entry.ElectionInterval)
					kvs, _ = f.store.readRange(key)
				}
				assert.Equal(t, len(kvs), 1, "no layout 3 s after the start of the last host")
				shards, err := entry.LayoutShards(kvs[0].Value)
				assert.NilError(t, err)
				assert.Check(t, shards == 1, "%d shards", shards)
			})
		})
	}
}
