package asynclog

import (
	"expvar"
	"io"
	"sync"
	"time"
)

// defaultBufferLines bounds the lines that wait for a slow reader; at 300 bytes a line that is about a megabyte.
const defaultBufferLines = 4096

var dropped = expvar.NewInt("log_lines_dropped")

// Writer passes lines on to another writer in the background. Lines that find the buffer full are dropped and counted.
type Writer struct {
	done  chan struct{}
	lines chan []byte
	mu    sync.RWMutex
	// closed is guarded by mu, so that no line is sent to a closed channel.
	closed bool
	out    io.Writer
}

// Option sets a property of a Writer.
type Option func(*Writer)

// WithBufferLines sets how many lines may wait.
func WithBufferLines(n int) Option { return func(w *Writer) { w.lines = make(chan []byte, n) } }

// New returns a writer to out.
func New(out io.Writer, opts ...Option) *Writer {
	w := &Writer{done: make(chan struct{}), lines: make(chan []byte, defaultBufferLines), out: out}
	for _, o := range opts {
		o(w)
	}
	go w.run()
	return w
}

// Write takes a line; it never blocks and always reports success.
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

// Close passes the waiting lines on for at most the given time.
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

// Dropped returns the number of lines that this process has dropped.
func Dropped() int64 { return dropped.Value() }

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			dropped.Add(1) // there is nowhere left to report it
		}
	}
}
