package entry_test

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/knownred"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	evacuationPrefix = "op/evacuate/"
	// evacuatedZone is the zone of every third worker; the others are in zone z.
	evacuatedZone = "north/1%"
	// evacuationBound is the time from the confirmed write of the key from which no task may start in the zone. It is extended by
	// unstableBound while the store is unstable.
	evacuationBound = 5 * time.Second
	unstableBound   = 6 * time.Second
	// promptBound is the time in which a fleet without disturbances follows a key.
	promptBound = 500 * time.Millisecond
)

var (
	errNoZone   = errors.New("no zone")
	smallDemand = fleet.Resources{CPUMilli: 500, MemoryMiB: 10}
)

// evacuatedFleet is a fleet with short and long-running tasks that counts the starts in the evacuated zone.
type evacuatedFleet struct {
	*simulatedFleet
	// from is the time from which no start in the zone is allowed, in nanoseconds; 0 while the zone is not evacuated.
	from, late, starts atomic.Int64
	hook               *test.Hook
}

func runEvacuation(t *testing.T, scenario func(*evacuatedFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &evacuatedFleet{simulatedFleet: newSimulatedFleet(t, 1, 2, simulatedWorkers), hook: &test.Hook{}}
		f.logHook = f.hook
		for n := range f.shards {
			for i := 0; i < simulatedWorkers; i += 3 {
				f.workers[fmt.Sprintf("servers/w%d-%d", n, i)].Zone = evacuatedZone
			}
		}
		f.tasks.endOf = func(worker string, _ shard.Start, step workflow.Step) (time.Duration, shard.EndCause) {
			if f.workers[worker].Zone == evacuatedZone {
				f.starts.Add(1)
				if from := f.from.Load(); from > 0 && time.Now().UnixNano() > from {
					f.late.Add(1)
				}
			}
			if step.LongRunning {
				return time.Duration(1000+f.int(20_000)) * time.Millisecond, shard.EndFailed
			}
			return shortTaskDuration, shard.EndDone
		}
		for n := range f.shards {
			j := workflow.Job{ID: fmt.Sprintf("f%015d", n), Queue: "q", Steps: []workflow.Step{{
				Count: 20, LongRunning: true, Rack: rackName(n), Resources: smallDemand,
			}}}
			f.addJob(n, j)
		}
		ctx, stopLoad := context.WithCancel(t.Context())
		go f.runLoad(ctx, 4, 10)
		f.startMixed(3, 0)
		time.Sleep(4 * time.Second)
		assert.Assert(t, f.starts.Load() > 0, "the zone is used")
		scenario(f)
		assert.Equal(t, f.late.Load(), int64(0), "starts in the zone after the bound")
		stopLoad()
		f.kill(f.names()...)
		time.Sleep(contactTime) // background calls of the hosts end
		assert.Equal(t, strings.Join(f.tasks.violations, "\n"), "")
		assert.Equal(t, strings.Join(f.tasks.over, "\n"), "")
	})
}

// evacuate requests the evacuation of the zone, which must be in effect after a time.
func (f *evacuatedFleet) evacuate(bound time.Duration) {
	f.from.Store(time.Now().Add(bound).UnixNano())
	f.store.put(evacuationPrefix+evacuatedZone, nil)
}

// release removes the key. The zone must be used again within a time, if that is not 0.
func (f *evacuatedFleet) release(bound time.Duration) {
	f.t.Helper()
	f.from.Store(0)
	f.store.remove(evacuationPrefix + evacuatedZone)
	if before := f.starts.Load(); bound > 0 {
		time.Sleep(bound)
		assert.Check(f.t, f.starts.Load() > before, "the zone is used again")
	}
}

// withoutHistory does something whose events the store drops before any watch has them.
func (f *evacuatedFleet) withoutHistory(do func()) {
	f.store.setUnwatched("op/")
	do()
	f.store.compact()
	f.store.setUnwatched("")
}

// Guards against starts in an evacuated zone beyond the bound, and against a zone that stays empty after its return: in calm, and beside
// each disturbance that may keep a host from learning of the key.
func TestEvacuatedZoneGetsNoStarts(t *testing.T) {
	for name, tc := range map[string]struct {
		bound   time.Duration
		disturb func(f *evacuatedFleet)
	}{
		"calm": {promptBound, func(*evacuatedFleet) { time.Sleep(20 * time.Second) }},
		"late watches": {evacuationBound, func(f *evacuatedFleet) {
			f.store.setWatchDelay(func(string) time.Duration { return 3 * time.Second })
			time.Sleep(15 * time.Second)
			f.store.setWatchDelay(nil)
			time.Sleep(4 * time.Second)
		}},
		"store down at once": {evacuationBound, func(f *evacuatedFleet) {
			f.store.setDown(true)
			time.Sleep(4 * time.Second)
			f.store.setDown(false)
			time.Sleep(15 * time.Second)
		}},
		"store down later, for long": {promptBound, func(f *evacuatedFleet) {
			time.Sleep(time.Second)
			f.store.setDown(true)
			time.Sleep(12 * time.Second)
			f.store.setDown(false)
			time.Sleep(10 * time.Second)
		}},
		"watches lose events while the store is unstable": {evacuationBound + unstableBound, func(f *evacuatedFleet) {
			f.store.setUnwatched("op/")
			time.Sleep(8 * time.Second)
			f.store.setUnwatched("")
			time.Sleep(10 * time.Second)
		}},
		"history lost": {promptBound, func(f *evacuatedFleet) {
			for range 2 {
				time.Sleep(5 * time.Second)
				f.withoutHistory(func() { f.release(0) })
				before := f.starts.Load()
				time.Sleep(5 * time.Second)
				assert.Check(f.t, f.starts.Load() > before, "the zone is used again")
				f.withoutHistory(func() { f.evacuate(promptBound) })
			}
			time.Sleep(10 * time.Second)
		}},
		"hosts that start and owners that change": {promptBound, func(f *evacuatedFleet) {
			for i := range 4 {
				time.Sleep(time.Second)
				f.kill(f.names()[0])
				f.start(fmt.Sprintf("strong-%d", 10+i), strongHost)
				time.Sleep(3 * time.Second)
			}
			f.hosts[f.names()[0]].daemon.DrainShards(f.t.Context())
			time.Sleep(5 * time.Second)
		}},
		"an owner cut off": {evacuationBound, func(f *evacuatedFleet) {
			f.hosts[f.names()[0]].isCut.Store(true)
			time.Sleep(4 * time.Second)
			f.hosts[f.names()[0]].isCut.Store(false)
			time.Sleep(10 * time.Second)
		}},
		"malformed and unknown keys beside it": {promptBound, func(f *evacuatedFleet) {
			f.store.put(evacuationPrefix, nil)
			f.store.put(evacuationPrefix+"nowhere", nil)
			time.Sleep(10 * time.Second)
			told := map[any]bool{}
			for _, e := range f.hook.AllEntries() {
				if d := e.Data["decision"]; d == "evacuation_refused" || d == "evacuation_unknown_zone" {
					told[e.Data["key"]] = true
				}
			}
			assert.DeepEqual(f.t, told, map[any]bool{evacuationPrefix: true, evacuationPrefix + "nowhere": true})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runEvacuation(t, func(f *evacuatedFleet) {
				for range 2 {
					f.evacuate(tc.bound)
					tc.disturb(f)
					f.release(5 * time.Second)
				}
			})
		})
	}
}

// Guards against a start that was sent before the evacuation, is late on its way and is carried out in the zone after the bound.
func TestDelayedStartIsNotCarriedOutInEvacuatedZone(t *testing.T) {
	runEvacuation(t, func(f *evacuatedFleet) {
		var isDelayed atomic.Bool
		var delayed, carriedOut atomic.Int64
		f.changePlatform = func(p *entry.Platform) {
			start := p.Start
			p.Start = func(ctx context.Context, s shard.Start) shard.Reply {
				if !isDelayed.Load() {
					return start(ctx, s)
				}
				delayed.Add(1)
				time.AfterFunc(8*time.Second, func() {
					if f.workers[s.Worker].start(ctx, s).Outcome == shard.OutcomeDone {
						carriedOut.Add(1)
					}
				})
				<-ctx.Done()
				return shard.Reply{Outcome: shard.OutcomeUnknown}
			}
		}
		f.kill(f.names()...)
		for i := range 3 {
			f.start(fmt.Sprintf("strong-%d", i), strongHost)
		}
		time.Sleep(5 * time.Second)
		isDelayed.Store(true)
		time.Sleep(300 * time.Millisecond)
		f.evacuate(evacuationBound)
		time.Sleep(200 * time.Millisecond)
		isDelayed.Store(false)
		time.Sleep(15 * time.Second)
		assert.Assert(t, delayed.Load() > 0)
		t.Logf("%d starts were delayed, %d of them carried out in other zones", delayed.Load(), carriedOut.Load())
	})
}

// Guards against a host that takes shards before it knows the evacuated zones, here because it has its config from a peer of an older
// build, and against one that takes an older answer of a peer for newer.
func TestHostKnowsEvacuationsBeforeItTakesShards(t *testing.T) {
	runView(t, 1, func(f *simulatedFleet) {
		f.store.put(evacuationPrefix+evacuatedZone, nil)
		f.changePlatform = func(p *entry.Platform) {
			read := p.Store.Range
			p.Store.Range = func(ctx context.Context, prefix string) ([]kvstore.KV, int64, error) {
				if prefix == p.OperatorPrefix {
					sleep(ctx, rangeTimeout)
					return nil, 0, kvstore.ErrUnavailable
				}
				return read(ctx, prefix)
			}
		}
		h := f.start("unable", strongHost)
		reply, asked := &peer.ConfigReply{Data: []byte("config")}, 0
		h.daemon.SetRequest(func(context.Context, string, peer.Message) (peer.Message, error) {
			asked++
			return peer.Message{ConfigReply: reply}, nil
		})
		time.Sleep(time.Second)
		h.daemon.SeeHost("peer")
		h.daemon.FetchConfigFromPeer(f.t.Context())
		assert.Equal(t, asked, 1)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(f.owners()), 0, "the host knows a config and no evacuations")
		f.changePlatform = nil
		able := f.start("able", strongHost)
		time.Sleep(2 * time.Second)
		answer, err := able.daemon.HandlePeerMessage(f.t.Context(), peer.Message{ConfigQuery: &peer.ConfigQuery{Version: 99}})
		assert.NilError(t, err)
		reply = f.encodeAndDecode(answer).ConfigReply
		f.store.remove(evacuationPrefix + evacuatedZone)
		time.Sleep(time.Second)
		newer, err := able.daemon.HandlePeerMessage(f.t.Context(), peer.Message{ConfigQuery: &peer.ConfigQuery{Evacuations: reply.Evacuations.Revision}})
		assert.NilError(t, err)
		older := reply
		for _, tc := range []struct {
			reply *peer.ConfigReply
			zones int
		}{{older, 1}, {f.encodeAndDecode(newer).ConfigReply, 0}, {older, 0}} {
			reply = tc.reply
			h.daemon.FetchConfigFromPeer(f.t.Context())
			zones, isKnown := h.daemon.EvacuatedZones()
			assert.Check(t, isKnown)
			assert.Equal(t, len(zones), tc.zones)
		}
	})
}

// Guards against new jobs that wait in a shard whose workers are all evacuated while another one is free, also with data in such a rack.
func TestNewJobGoesToShardOutsideEvacuatedZone(t *testing.T) {
	runView(t, 2, func(f *simulatedFleet) {
		for i := range simulatedWorkers {
			f.workers[fmt.Sprintf("servers/w0-%d", i)].Zone = evacuatedZone
		}
		f.store.put(evacuationPrefix+evacuatedZone, nil)
		f.startMixed(2, 0)
		time.Sleep(5 * time.Second)
		for i := range 20 {
			s := workflow.Step{Count: 2, Rack: []string{"", rackName(0)}[i%2], Resources: smallDemand}
			n, ok := f.hosts["strong-0"].daemon.ChooseShard(f.t.Context(), workflow.Job{ID: "a", Queue: "q", Steps: []workflow.Step{s}})
			assert.Check(t, ok && n == 1, "shard %d", n)
		}
	})
}

// Guards against operators who can't see which zones are evacuated, since when and what still runs there, and against values that stay.
func TestEvacuationIsExported(t *testing.T) {
	knownred.Skip(t)
	zone := func() expvar.Var { return expvar.Get("entry_evacuated_zones").(*expvar.Map).Get(evacuatedZone) }
	left := func() expvar.Var {
		return expvar.Get("entry_shard").(*expvar.Map).Get("0_evacuated_runs_" + evacuatedZone)
	}
	runEvacuation(t, func(f *evacuatedFleet) {
		f.evacuate(promptBound)
		time.Sleep(2 * time.Second)
		assert.Equal(t, zone().String(), `"`+time.Now().Add(-2*time.Second).UTC().Format(time.RFC3339)+`"`)
		assert.Assert(t, left().String() != "0")
		time.Sleep(25 * time.Second)
		assert.Equal(t, left().String(), "0")
		f.release(2 * time.Second)
		assert.Assert(t, zone() == nil && left() == nil)
	})
}
