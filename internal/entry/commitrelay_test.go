package entry_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/settings"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// relayHarness is an owner whose transactions the store refuses, and a peer.
type relayHarness struct {
	*conflictHarness
	// attempts counts the transactions of the owner and the peer.
	attempts int
	// isPeerRefused is set while the store refuses the transactions of the peer.
	isPeerRefused bool
	owner, peer   *entry.Host
	requests      int
	// reply, if set, changes the replies of the peer.
	reply func(peer.Message, error) (peer.Message, error)
	// servedFrom, if set, is when the store begins to serve the owner.
	servedFrom time.Time
}

// runRelay runs a scenario in virtual time.
func runRelay(t *testing.T, scenario func(t *testing.T, c *relayHarness)) {
	runConflict(t, func(t *testing.T, conflict *conflictHarness) {
		c := &relayHarness{conflictHarness: conflict}
		c.owner = c.newHost("owner", c.isServed)
		c.peer = c.newHost("peer", func() bool { return !c.isPeerRefused })
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		c.peer.RunSession(ctx) // the peer's last renewal has succeeded
		c.attempts = 0
		c.owner.SeeHost("peer")
		c.owner.SetRequest(func(ctx context.Context, _ string, m peer.Message) (peer.Message, error) {
			c.requests++
			reply, err := c.peer.HandlePeerMessage(ctx, m)
			if c.reply != nil {
				return c.reply(reply, err)
			}
			return reply, err
		})
		c.writer.Close()
		c.writer = c.newWriter()
		scenario(t, c)
		time.Sleep(time.Second) // background timers end
	})
}

func (c *relayHarness) isServed() bool {
	return !c.servedFrom.IsZero() && !time.Now().Before(c.servedFrom)
}

func (c *relayHarness) newHost(name string, isServed func() bool) *entry.Host {
	s := settings.Default()
	s.Host, s.Zone = name, "z"
	return entry.NewInVirtualTime(s, entry.Platform{Store: kvstore.Store{
		Grant:     func(_ context.Context, ttl time.Duration) (int64, error) { return c.grant(ttl), nil },
		KeepAlive: func(_ context.Context, lease int64) error { return c.keepAlive(lease) },
		Txn: func(_ context.Context, t kvstore.Txn) (kvstore.TxnResult, error) {
			c.attempts++
			if !isServed() {
				return kvstore.TxnResult{}, kvstore.ErrUnavailable
			}
			return c.txn(t)
		},
	}}, discardingLogger())
}

func (c *relayHarness) newWriter() entry.CommitWriter {
	return entry.NewCommitWriter(c.owner, c.items[entry.OwnerKey()].ModRevision, map[string]int64{
		conflictJobA: c.items[entry.ProgressKey(conflictJobA)].ModRevision,
		conflictJobB: c.items[entry.ProgressKey(conflictJobB)].ModRevision,
	})
}

// writesOf returns how often the record of a job was written.
func (c *relayHarness) writesOf(job string) int {
	n := 0
	for _, e := range c.events {
		if e.KV.Key == entry.ProgressKey(job) {
			n++
		}
	}
	return n
}

// Guards against records that are written twice, or never count as written, because the reply of the peer that wrote them was lost.
func TestRecordsOfPeerWhoseReplyIsLostAreNotWrittenTwice(t *testing.T) {
	runRelay(t, func(t *testing.T, c *relayHarness) {
		c.reply = func(reply peer.Message, err error) (peer.Message, error) {
			if c.requests == 1 {
				return peer.Message{}, context.DeadlineExceeded
			}
			return reply, err
		}
		assert.Assert(t, c.write("new a", "new b"))
		assert.Equal(t, c.stored(conflictJobB), "new b")
		assert.Equal(t, c.writesOf(conflictJobA), 2, "the old record and the new one")
		assert.Equal(t, c.requests, 2)
	})
}

// Guards against a peer that writes records of an owner that has lost its shard.
func TestPeerWritesNothingForFormerOwner(t *testing.T) {
	runRelay(t, func(t *testing.T, c *relayHarness) {
		c.endOwnership()
		assert.Assert(t, !c.write("new a", "new b"))
		assert.Assert(t, c.requests > 0)
		assert.Equal(t, c.stored(conflictJobA), "old a")
		message := peer.Message{RecordsWrite: &peer.RecordsWrite{Puts: []peer.Record{{Key: entry.ProgressKey(conflictJobA)}}}}
		_, err := c.peer.HandlePeerMessage(t.Context(), message)
		assert.ErrorContains(t, err, "not guarded")
		assert.Equal(t, c.stored(conflictJobA), "old a")
	})
}

// Guards against an owner that makes no attempts of its own any more because its peers, of an older build, don't know the message.
func TestOwnerWritesAgainAfterPeersRefused(t *testing.T) {
	runRelay(t, func(t *testing.T, c *relayHarness) {
		c.reply = func(peer.Message, error) (peer.Message, error) { return peer.Message{}, peer.ErrRefused }
		c.servedFrom = time.Now().Add(2 * time.Second)
		assert.Assert(t, c.write("new a", "new b"))
		assert.Assert(t, c.requests > 0)
		assert.Equal(t, c.stored(conflictJobB), "new b")
	})
}

// Guards against owners that multiply the calls to a store that refuses all hosts because they make too many.
func TestPeersDoNotAddCallsToRefusingStore(t *testing.T) {
	attempts := map[bool]int{}
	for _, hasPeer := range []bool{false, true} {
		runRelay(t, func(t *testing.T, c *relayHarness) {
			c.isPeerRefused = true
			if !hasPeer {
				c.owner = c.newHost("owner", func() bool { return false })
				c.writer = c.newWriter()
			}
			assert.Assert(t, !c.write("new a", "new b"))
			attempts[hasPeer] = c.attempts
			assert.Equal(t, c.requests > 0, hasPeer)
		})
	}
	assert.Assert(t, attempts[true] <= attempts[false], "%d calls with a peer, %d without", attempts[true], attempts[false])
}

// Guards against an owner that asks again and again a peer whose transactions are refused, while another one could write.
func TestOwnerAsksPeersInTurn(t *testing.T) {
	runRelay(t, func(t *testing.T, c *relayHarness) {
		const others = 5
		for i := range others {
			c.owner.SeeHost(string(rune('a' + i)))
		}
		asked := map[string]int{}
		c.owner.SetRequest(func(ctx context.Context, address string, m peer.Message) (peer.Message, error) {
			asked[address]++
			if address != "peer" {
				return peer.Message{RecordsReply: &peer.RecordsReply{Outcome: string(entry.OutcomeRefused)}}, nil
			}
			return c.peer.HandlePeerMessage(ctx, m)
		})
		began := time.Now()
		assert.Assert(t, c.write("new a", "new b"))
		assert.Assert(t, time.Since(began) < restartWindow, "written after %s", time.Since(began))
		for address, n := range asked {
			assert.Assert(t, n == 1, "%s was asked %d times", address, n)
		}
		before := len(asked)
		assert.Assert(t, c.writer.Write([]shard.JobWrite{{Job: conflictJobA, Progress: []byte("newer a")}}))
		assert.Equal(t, len(asked), before)
		assert.Equal(t, asked["peer"], 2, "the peer that wrote last is asked first")
	})
}

// Guards against records that a peer can't write because the request or its reply does not pass the connection between hosts.
func TestPeerWritesRecordsOverConnection(t *testing.T) {
	const revision, jobRevision = 99, 8
	received := make(chan peer.RecordsWrite, 1)
	address := startPeer(t, func(m peer.Message) peer.Message {
		received <- *m.RecordsWrite
		return peer.Message{RecordsReply: &peer.RecordsReply{Outcome: string(entry.OutcomeAccepted), Revision: revision}}
	})
	owner := newHost(strongHost, kvstore.Store{Txn: func(context.Context, kvstore.Txn) (kvstore.TxnResult, error) {
		return kvstore.TxnResult{}, kvstore.ErrUnavailable
	}})
	owner.SeeHost(address)
	writer := entry.NewCommitWriter(owner, 7, nil)
	writer.NoteJob(conflictJobA, jobRevision)
	defer writer.Close()
	timer := time.AfterFunc(contactTime, writer.Close)
	defer timer.Stop()
	assert.Assert(t, writer.Write([]shard.JobWrite{{Job: conflictJobA, Progress: []byte("new a")}}))
	assert.DeepEqual(t, <-received, peer.RecordsWrite{
		Guards: []peer.Record{
			{Key: entry.OwnerKey(), Revision: 7}, {Key: entry.ProgressKey(conflictJobA)}, {Key: entry.JobKey(conflictJobA), Revision: jobRevision},
		},
		Puts: []peer.Record{{Key: entry.ProgressKey(conflictJobA), Value: []byte("new a")}},
	})
}
