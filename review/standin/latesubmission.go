package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// lateSubmission plays consumers that leave before they have an answer and then cancel, while the store executes a part of the writes
// seconds later and does not answer them.
func lateSubmission(d *deployment, isTrouble bool) bool {
	const (
		lostShare, lostFor    = 0.35, 4500 * time.Millisecond
		minLate, maxLate      = time.Second, 6 * time.Second
		leaveShare            = 0.25
		leaveAfter            = 150 * time.Millisecond
		submissions           = 64
		cancelTime            = 3 * time.Second
		stopTimeout           = 400 * time.Millisecond
		contact               = 3 * time.Second
		cancelTries, tryPause = 20, 500 * time.Millisecond
	)
	to := newRoute(kept)
	d.begin(3, 8, 10*time.Second, to)
	began := time.Now()
	if isTrouble {
		d.record.log("store    loses answers from now on for %s: %.2f of the writes are executed %s to %s later", lostFor, lostShare, minLate, maxLate)
		d.store.mu.Lock()
		d.store.lateBy = func(transaction) time.Duration {
			if time.Since(began) > lostFor || rand.Float64() >= lostShare {
				return 0
			}
			return minLate + rand.N(maxLate-minLate)
		}
		d.store.mu.Unlock()
	}
	var consumers sync.WaitGroup
	var mu sync.Mutex
	cancelled := map[string]int{}
	for i := range submissions {
		consumers.Go(func() {
			j := submission{id: newID(), route: to, spec: spec(0), steps: []step{{Count: 1, CPU: 100, LongRunning: true, MemMb: 64}}}
			if float64(i%4) >= leaveShare*4 {
				submit(d.record, d.hosts, j)
				return
			}
			send(d.record, d.hosts[i%len(d.hosts)], http.MethodPost, to, j.id, j.body(), leaveAfter)
			for try := range cancelTries {
				status, _ := send(d.record, d.hosts[(i+1+try)%len(d.hosts)], http.MethodDelete, to, j.id, nil, 3*time.Second)
				if status >= 200 && status < 300 || status == http.StatusGone {
					mu.Lock()
					cancelled[j.id] = status
					mu.Unlock()
					return
				}
				time.Sleep(tryPause)
			}
		})
		time.Sleep(lostFor / submissions)
	}
	consumers.Wait()
	// All writes are executed, and the store has been without disturbance for longer than contact, cancelTime and stopTimeout.
	time.Sleep(time.Until(began.Add(lostFor + maxLate)))
	time.Sleep(contact + cancelTime + stopTimeout + 3*time.Second)
	held := true
	for id, status := range cancelled {
		for _, e := range d.record.startsOf(id) {
			isRunning := d.isRunning(id + ".")
			d.record.log("check    the cancel of %s was answered with %d; its task started at %.3f s; runs now: %v", id, status,
				d.record.seconds(e.at), isRunning)
			held = held && !isRunning
		}
	}
	for id := range cancelled {
		if !held && d.isRunning(id+".") {
			status, answer := send(d.record, d.hosts[0], http.MethodGet, to, id, nil, 3*time.Second)
			d.record.log("check    the state of cancelled submission %s: %d %s", id, status, strings.TrimSpace(string(answer)))
		}
	}
	d.record.log("check    %d submissions were cancelled", len(cancelled))
	return held
}
