package asynclog_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/asynclog"
)

// blockingWriter is a log output that blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *blockingWriter) lines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Count(s.text.Bytes(), []byte("\n"))
}

// Guards against a scheduler that is blocked by a log output that is not read, such as a full pipe.
func TestWriteDoesNotBlockOnSlowOutput(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	w := asynclog.New(out, asynclog.WithBufferLines(10))
	before := asynclog.Dropped()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 1000 {
			_, err := fmt.Fprintln(w, "line", i)
			assert.Check(t, err)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks while the output is blocked")
	}
	close(out.release)
	w.Close(10 * time.Second)
	dropped := int(asynclog.Dropped() - before)
	assert.Assert(t, dropped >= 980, "%d lines were dropped", dropped)
	assert.Equal(t, out.lines()+dropped, 1000, "each line is either written or counted as dropped")
}

// Guards against a panic, or a line that is neither written nor counted, when something is logged after Close.
func TestWriteAfterCloseCountsAsDropped(t *testing.T) {
	w := asynclog.New(&bytes.Buffer{})
	w.Close(time.Second)
	before := asynclog.Dropped()
	_, err := w.Write([]byte("late\n"))
	assert.NilError(t, err)
	assert.Equal(t, asynclog.Dropped()-before, int64(1))
}
