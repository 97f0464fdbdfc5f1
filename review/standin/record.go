package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// event is the start or the end of a run as its worker saw it.
type event struct {
	at      time.Time
	cause   string
	isStart bool
	run     int
	task    string
	worker  string
}

// record writes what was sent, answered and run, and keeps the runs for the check.
type record struct {
	began  time.Time
	events []event
	file   *os.File
	mu     sync.Mutex
	out    *bufio.Writer
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fail("%v", err)
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush()
}

func (r *record) runStarted(worker, task string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event{at: time.Now(), isStart: true, run: number, task: task, worker: worker})
	r.write("run      %s run %d starts on %s", task, number, worker)
}

func (r *record) runEnded(worker, task string, number int, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event{at: time.Now(), cause: cause, run: number, task: task, worker: worker})
	r.write("run      %s run %d ends on %s: %s", task, number, worker, cause)
}

// startsOf returns the starts of the tasks whose names begin with a prefix.
func (r *record) startsOf(prefix string) []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []event
	for _, e := range r.events {
		if e.isStart && strings.HasPrefix(e.task, prefix) {
			out = append(out, e)
		}
	}
	return out
}

// seconds returns a time as seconds since the beginning of the record.
func (r *record) seconds(t time.Time) float64 { return t.Sub(r.began).Seconds() }
