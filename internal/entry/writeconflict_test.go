package entry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/settings"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

const conflictJobA, conflictJobB = "000000000000000a", "000000000000000b"

// conflictHarness is an owner that writes the records "new a" and "new b" of two jobs, which are "old a" and "old b" in the store.
type conflictHarness struct {
	*memoryStore
	// afterFirst is called when the first transaction has taken effect, whose response is lost.
	afterFirst func()
	calls      int
	writer     entry.CommitWriter
}

// runConflict runs a scenario in virtual time.
func runConflict(t *testing.T, scenario func(t *testing.T, c *conflictHarness)) {
	synctest.Test(t, func(t *testing.T) {
		c := &conflictHarness{memoryStore: newMemoryStore()}
		c.put(entry.OwnerKey(), []byte("this host"))
		c.put(entry.ProgressKey(conflictJobA), []byte("old a"))
		c.put(entry.ProgressKey(conflictJobB), []byte("old b"))
		s := settings.Default()
		s.Host, s.Zone = "self", "z"
		h := entry.NewInVirtualTime(s, entry.Platform{Store: kvstore.Store{Txn: c.lossyTxn}}, discardingLogger())
		c.writer = entry.NewCommitWriter(h, c.items[entry.OwnerKey()].ModRevision, map[string]int64{
			conflictJobA: c.items[entry.ProgressKey(conflictJobA)].ModRevision,
			conflictJobB: c.items[entry.ProgressKey(conflictJobB)].ModRevision,
		})
		scenario(t, c)
		c.writer.Close()
	})
}

func (c *conflictHarness) lossyTxn(_ context.Context, t kvstore.Txn) (kvstore.TxnResult, error) {
	c.calls++
	res, err := c.txn(t)
	if err == nil && c.calls == 1 && c.afterFirst != nil {
		c.afterFirst()
		return kvstore.TxnResult{}, kvstore.ErrUnknownOutcome
	}
	return res, err
}

// write writes the records and stops the owner after 5 s. It returns whether the records are known to be written.
func (c *conflictHarness) write(a, b string) bool {
	timer := time.AfterFunc(5*time.Second, c.writer.Close)
	defer timer.Stop()
	return c.writer.Write([]shard.JobWrite{{Job: conflictJobA, Progress: []byte(a)}, {Job: conflictJobB, Progress: []byte(b)}})
}

func (c *conflictHarness) stored(job string) string {
	return string(c.items[entry.ProgressKey(job)].Value)
}

// endOwnership deletes the owner key.
func (c *conflictHarness) endOwnership() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.memoryStore.write(kvstore.Event{Deleted: true, KV: kvstore.KV{Key: entry.OwnerKey()}})
}

// Guards against a transaction that counts as written because one of its records equals the store's, which had it before. The
// owner would start tasks that are not on record.
func TestUnchangedRecordDoesNotProveThatTransactionWasWritten(t *testing.T) {
	runConflict(t, func(t *testing.T, c *conflictHarness) {
		c.endOwnership()
		assert.Assert(t, !c.write("old a", "new b"), "job b is not written")
		assert.Equal(t, c.stored(conflictJobB), "old b")
	})
}

// Guards against records that are not written by an owner that takes its shard again.
func TestRecordsAreWrittenByResumedOwner(t *testing.T) {
	runConflict(t, func(t *testing.T, c *conflictHarness) {
		c.endOwnership()
		time.AfterFunc(time.Second, func() {
			c.put(entry.OwnerKey(), []byte("this host again"))
			c.writer.Resume(c.items[entry.OwnerKey()].ModRevision)
		})
		assert.Assert(t, c.write("old a", "new b"))
		assert.Equal(t, c.stored(conflictJobB), "new b")
	})
}

// Guards against a transaction that is written again after it took effect.
func TestTransactionWithLostResponseIsNotRepeated(t *testing.T) {
	runConflict(t, func(t *testing.T, c *conflictHarness) {
		c.afterFirst = func() {}
		assert.Assert(t, c.write("new a", "new b"))
		assert.Equal(t, c.calls, 2)
		revision := c.items[entry.ProgressKey(conflictJobA)].ModRevision
		assert.Equal(t, revision, c.revision, "nothing was written after the first transaction")
	})
}

// Guards against an owner that overwrites the record of its successor after its own transaction took effect.
func TestSuccessorsRecordIsNotOverwritten(t *testing.T) {
	runConflict(t, func(t *testing.T, c *conflictHarness) {
		c.afterFirst = func() {
			c.endOwnership()
			c.put(entry.OwnerKey(), []byte("successor"))
			c.put(entry.ProgressKey(conflictJobB), []byte("successor's b"))
		}
		assert.Assert(t, !c.write("new a", "new b"), "the owner can't know that its transaction took effect")
		assert.Equal(t, c.stored(conflictJobA), "new a")
		assert.Equal(t, c.stored(conflictJobB), "successor's b")
	})
}

// Guards against an endless loop of an owner that keeps its shard while one of the records it wrote is changed.
func TestChangedRecordIsWrittenOnceMoreByItsOwner(t *testing.T) {
	runConflict(t, func(t *testing.T, c *conflictHarness) {
		c.afterFirst = func() { c.put(entry.ProgressKey(conflictJobB), []byte("changed b")) }
		assert.Assert(t, c.write("new a", "new b"))
		assert.Equal(t, c.calls, 3)
		assert.Equal(t, c.stored(conflictJobB), "new b")
	})
}

// Guards against a transaction that counts as written because its records came into the store by several others. Its unguarded writes,
// the final states of jobs, would be missing.
func TestRecordsOfSeveralTransactionsDoNotCountAsWritten(t *testing.T) {
	runConflict(t, func(t *testing.T, c *conflictHarness) {
		c.put(entry.ProgressKey(conflictJobA), []byte("new a"))
		c.put(entry.ProgressKey(conflictJobB), []byte("new b"))
		before := c.revision
		assert.Assert(t, c.write("new a", "new b"))
		assert.Equal(t, c.revision, before+1, "the transaction was written")
	})
}

// Guards against a transaction that counts as written because another one changed all of its records together.
func TestRecordsOfAnotherTransactionDoNotCountAsWritten(t *testing.T) {
	runConflict(t, func(t *testing.T, c *conflictHarness) {
		_, err := c.txn(kvstore.Txn{Puts: []kvstore.Put{
			{Key: entry.ProgressKey(conflictJobA), Value: []byte("new a")}, {Key: entry.ProgressKey(conflictJobB), Value: []byte("other b")},
		}})
		assert.NilError(t, err)
		assert.Assert(t, c.write("new a", "new b"))
		assert.Equal(t, c.stored(conflictJobB), "new b")
	})
}
