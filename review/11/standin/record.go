package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what a case writes to record.txt, and its counts.
type record struct {
	began  time.Time
	counts map[string]int
	file   *os.File
	mu     sync.Mutex
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{began: time.Now(), counts: map[string]int{}, file: file}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *record) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

func (r *record) total(what string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[what]
}

// say adds a line to the record and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
