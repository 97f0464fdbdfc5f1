package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// unstarted plays a worker that loses power for good, and submissions that are handed in just after. Their tasks on that worker
// begin only when its lease is over.
func unstarted(d *deployment, isTrouble bool) bool {
	const (
		submissions = 48
		visible     = 3 * time.Second
		slack       = 2 * time.Second
		watchFor    = 12 * time.Second
		askPause    = 200 * time.Millisecond
	)
	to := newRoute(kept)
	d.begin(3, 8, 10*time.Second, to)
	if isTrouble {
		d.record.log("worker   %s loses power for good", d.workers[0].id)
		d.workers[0].goDark()
	}
	acceptedAt := map[string]time.Time{}
	var mu sync.Mutex
	var consumers sync.WaitGroup
	for i := range submissions {
		consumers.Go(func() {
			j := submission{id: newID(), route: to, spec: spec(20000), steps: []step{{Count: 1, CPU: 500, EstimateMs: 20000, MemMb: 64}}}
			if submit(d.record, d.hosts[i%len(d.hosts):], j) {
				mu.Lock()
				acceptedAt[j.id] = time.Now()
				mu.Unlock()
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	consumers.Wait()
	held := true
	for began := time.Now(); time.Since(began) < watchFor; time.Sleep(askPause) {
		// The answer may be 2 s old, which the two spans of the rule allow for.
		asked, waiting := time.Now(), 0
		for id, at := range acceptedAt {
			if asked.Sub(at) > visible+slack && len(d.record.startsOf(id)) == 0 {
				waiting++
			}
		}
		status, answer := send(d.record, d.hosts[int(time.Since(began)/askPause)%len(d.hosts)], http.MethodGet, to, "", nil, 3*time.Second)
		var body struct{ Pending int }
		if status != http.StatusOK || json.Unmarshal(answer, &body) != nil {
			continue
		}
		still := 0
		for id, at := range acceptedAt {
			if asked.Sub(at) > visible+slack && len(d.record.startsOf(id)) == 0 {
				still++
			}
		}
		if still > 0 && float64(body.Pending) < float64(still)/2 {
			d.record.log("check    pending is given as %d while %d submissions that were accepted over %s before have not begun", body.Pending,
				min(still, waiting), visible+slack)
			held = false
		}
	}
	return held
}
