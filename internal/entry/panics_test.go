package entry_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// Guards against an unexpected error in one shard that ends the process and with it the other shards of the host.
func TestPanicInOneShardLeavesTheOthers(t *testing.T) {
	for name, panicIn := range map[string]func(*entry.Platform, func()){
		"poll": func(p *entry.Platform, fail func()) {
			poll := p.Poll
			p.Poll = func(ctx context.Context, l shard.Poll) (shard.Listing, shard.Outcome) {
				if strings.HasPrefix(l.Worker, "servers/w0-") {
					fail()
				}
				return poll(ctx, l)
			}
		},
		"start": func(p *entry.Platform, fail func()) {
			start := p.Start
			p.Start = func(ctx context.Context, s shard.Start) shard.Reply {
				if strings.HasPrefix(s.Worker, "servers/w0-") {
					fail()
				}
				return start(ctx, s)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, 2, func(f *simulatedFleet) {
				var panicsLeft atomic.Int64
				f.changePlatform = func(p *entry.Platform) {
					panicIn(p, func() {
						if panicsLeft.Add(-1) >= 0 {
							panic("unexpected state")
						}
					})
				}
				f.startMixed(2, 4)
				time.Sleep(10 * time.Second)
				before, began := f.ownerRevisions(), time.Now()
				panicsLeft.Store(1)
				time.Sleep(2 * contactTime)
				assert.Check(t, panicsLeft.Load() < 1, "no panic")
				after := f.ownerRevisions()
				assert.Check(t, after[1] == before[1] && after[1] != 0, "shard 1 changed its owner: %s", f.ownerHistory(began))
				assert.Check(t, after[0] > before[0], "shard 0 was not taken anew: %s", f.ownerHistory(began))
				f.tasks.calm()
				time.Sleep(contactTime + restartGrace)
				longest, task := f.tasks.longestCounted()
				assert.Check(t, longest <= restartWindow, "%s had nothing running for %s", task, longest)
			})
		})
	}
}

// Guards against a malformed registry entry or config whose decoding panics, or keeps other entries from being read.
func TestPanicOfDecoderSkipsOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.changePlatform = func(p *entry.Platform) {
			decode := p.DecodeWorker
			p.DecodeWorker = func(kv kvstore.KV) (shard.Worker, error) {
				if kv.Key == "servers/malformed" {
					panic("unexpected type")
				}
				return decode(kv)
			}
		}
		f.store.put("servers/malformed", nil)
		f.start("one", strongHost)
		time.Sleep(2 * time.Second)
		revisions := f.ownerRevisions()
		f.addJob(0, notifiedJob)
		time.Sleep(2 * time.Second)
		f.store.put("servers/malformed", []byte("x"))
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.endCount(), int64(notifiedTasks))
		assert.DeepEqual(t, f.ownerRevisions(), revisions)
	})
}

// Guards against an event or a snapshot whose handling panics and ends the process, or after which the watch stands still.
func TestPanicInWatchReadsKeysAnew(t *testing.T) {
	for name, panicAt := range map[string]int{"in the snapshot": 1, "in an event": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				reads, handled, events := 0, 0, 0
				store := kvstore.Store{
					Range: func(context.Context, string) ([]kvstore.KV, int64, error) {
						reads++
						return nil, 1, nil
					},
					Watch: func(ctx context.Context, _ string, _ int64, onEvents func([]kvstore.Event)) error {
						time.Sleep(time.Second)
						onEvents([]kvstore.Event{{}})
						<-ctx.Done()
						return ctx.Err()
					},
				}
				handle := func() {
					if handled++; handled == panicAt {
						panic("unexpected state")
					}
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					entry.WatchPrefix(ctx, store, logrus.NewEntry(discardingLogger()), "p/", func([]kvstore.KV, int64) { handle() },
						func([]kvstore.Event) {
							handle()
							events++
						})
				}()
				time.Sleep(5 * time.Second)
				cancel()
				<-done
				assert.Equal(t, reads, 2)
				assert.Check(t, events >= 1, "no event after the panic")
			})
		})
	}
}

// ownerRevisions returns the revisions of the owner keys by shard.
func (f *simulatedFleet) ownerRevisions() map[int]int64 {
	out := map[int]int64{}
	for n := range f.shards {
		kvs, _ := f.store.readRange(entry.OwnerPrefix)
		for _, kv := range kvs {
			if strings.HasSuffix(kv.Key, string(rune('0'+n))) {
				out[n] = kv.ModRevision
			}
		}
	}
	return out
}

// Guards against a handover record whose reading panics and ends the process with all its shards.
func TestPanicInReadOfHandoverKeepsProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1, 1, simulatedWorkers)
		f.start("one", strongHost)
		f.addLongRunning(20)
		time.Sleep(4 * time.Second)
		f.changePlatform = func(p *entry.Platform) {
			get := p.Store.Get
			p.Store.Get = func(ctx context.Context, key string) (kvstore.KV, error) {
				if strings.Contains(key, "handover/") {
					panic("unexpected type")
				}
				return get(ctx, key)
			}
		}
		f.start("two", strongHost)
		time.Sleep(2 * time.Second)
		f.host("one").daemon.DrainShards(t.Context())
		f.kill("one")
		time.Sleep(contactTime + restartGrace)
		owner := f.owner()
		assert.Assert(t, owner != nil && owner.name == "two", "the shard has no owner")
		assert.Equal(t, len(f.tasks.idle()), 0, "tasks with nothing running")
		f.kill("two")
	})
}
