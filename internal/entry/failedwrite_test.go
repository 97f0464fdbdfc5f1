package entry_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/settings"
	"github.com/laburnumridge/laburnumridge/internal/shard"
)

// Guards against a record that the store refuses for good and that holds up the records of all other jobs of the shard.
func TestRefusedRecordDoesNotHoldUpOtherJobs(t *testing.T) {
	for name, refusal := range map[string]error{"too large": kvstore.ErrTooLarge, "rejected": kvstore.ErrRejected} {
		t.Run(name, func(t *testing.T) {
			runConflict(t, func(t *testing.T, c *conflictHarness) {
				s := settings.Default()
				s.Host, s.Zone = "self", "z"
				c.writer.Close()
				c.writer = entry.NewCommitWriter(entry.NewInVirtualTime(s, entry.Platform{Store: kvstore.Store{
					Txn: func(_ context.Context, txn kvstore.Txn) (kvstore.TxnResult, error) {
						for _, p := range txn.Puts {
							if strings.HasPrefix(string(p.Value), "refused") {
								return kvstore.TxnResult{}, refusal
							}
						}
						return c.txn(txn)
					},
				}}, discardingLogger()), c.items[entry.OwnerKey()].ModRevision, map[string]int64{
					conflictJobA: c.items[entry.ProgressKey(conflictJobA)].ModRevision,
					conflictJobB: c.items[entry.ProgressKey(conflictJobB)].ModRevision,
				})
				timer := time.AfterFunc(5*time.Second, c.writer.Close)
				defer timer.Stop()
				failed, ok := c.writer.WriteEach([]shard.JobWrite{
					{Job: conflictJobA, Progress: []byte("refused a")}, {Job: conflictJobB, Progress: []byte("new b")},
				})
				assert.Assert(t, ok)
				assert.Equal(t, len(failed), 1)
				assert.Equal(t, failed[0].Job, conflictJobA)
				assert.Equal(t, failed[0].IsTooLarge, refusal == kvstore.ErrTooLarge)
				assert.ErrorIs(t, failed[0].Error, refusal)
				assert.Equal(t, c.stored(conflictJobA), "old a")
				assert.Equal(t, c.stored(conflictJobB), "new b")
			})
		})
	}
}
