package asynclog

import (
	"expvar"
	"io"
	"sync"
	"time"
)

// defaultBufferLines is the number of lines that are buffered for a slow output. At 300 bytes a line this is about
// 1.2 MB.
const defaultBufferLines = 4096

var dropped = expvar.NewInt("log_lines_dropped")

// Writer buffers lines and writes them to another writer in the background. When the buffer is full, new lines are
// dropped and counted.
type Writer struct {
	done  chan struct{}
	lines chan []byte
	mu    sync.RWMutex
	// closed is guarded by mu, which ensures that no line is sent on lines after it has been closed.
	closed bool
	out    io.Writer
}

// Option sets a property of a Writer.
type Option func(*Writer)

// WithBufferLines sets the size of the buffer in lines.
func WithBufferLines(n int) Option { return func(w *Writer) { w.lines = make(chan []byte, n) } }

// New returns a Writer that writes to out.
func New(out io.Writer, opts ...Option) *Writer {
	w := &Writer{done: make(chan struct{}), lines: make(chan []byte, defaultBufferLines), out: out}
	for _, o := range opts {
		o(w)
	}
	go w.run()
	return w
}

// Write buffers a line, or drops it if the buffer is full or the Writer is closed. It never blocks or returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		dropped.Add(1)
	}
	return len(line), nil
}

// Close stops the Writer and waits until the buffered lines are written, but not longer than the timeout.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// Dropped returns the number of lines dropped by all Writers of this process.
func Dropped() int64 { return dropped.Value() }

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			dropped.Add(1) // the error cannot be logged, as the log itself is failing
		}
	}
}
