package shard_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against cancellations that are written in the order of the changes, like progress that nobody waits for.
func TestCancellationsOvertakeOlderProgress(t *testing.T) {
	const progressing, cancelled = 100, 10
	c := newProgressHarness(t, progressing)
	id := func(i int) string { return fmt.Sprintf("0000000000007%03x", i) }
	c.store.answerTime = nil
	for i := range cancelled {
		c.add(workflow.Job{ID: id(i), Queue: "q", Steps: []workflow.Step{smallStep}})
	}
	c.run(500 * time.Millisecond)
	c.blockCommits()
	c.run(time.Second)
	for i := range cancelled {
		c.owner.Cancel(c.now, id(i))
	}
	c.run(100 * time.Millisecond)
	received := len(c.store.received)
	c.release()
	c.run(100 * time.Millisecond)
	inFirst := 0
	for _, w := range c.store.received[received].Writes {
		if strings.HasPrefix(w.Job, "0000000000007") {
			inFirst++
		}
	}
	assert.Equal(t, inFirst, cancelled, "cancellations in the first commit")
}
