package main

import (
	"bytes"
	"syscall"
	"time"
)

// owner returns the host that owns the tasks, which is the one whose name the key of the owner holds.
func (d *deployment) owner() *host {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	value := d.store.items["laburnumridge/control/owner/0"].Value
	for _, h := range d.hosts {
		if bytes.Contains(value, []byte(h.name)) {
			return h
		}
	}
	return nil
}

// silentOwner plays a worker that loses power for good and, a moment later, the kill of the entry host that owns its tasks. Without
// trouble, only the worker is lost.
func silentOwner(d *deployment, isTrouble bool) bool {
	const (
		ownerLater = 300 * time.Millisecond
		tasks      = 16
		// The rule counts from 6 s after the last run of a task that lasts, in calm of 4 s, and allows 3 s.
		lasting, near, quiet = 6 * time.Second, 4 * time.Second, 3 * time.Second
		watchFor             = 25 * time.Second
	)
	to := newRoute(kept)
	d.begin(3, 8, 10*time.Second, to)
	j := submission{id: newID(), route: to, spec: spec(0), steps: []step{{Count: tasks, CPU: 500, LongRunning: true, MemMb: 64}}}
	if !submit(d.record, d.hosts, j) {
		fail("the submission is not accepted")
	}
	if !await(5*time.Second, func() bool { return len(d.record.startsOf(j.id)) == tasks }) {
		fail("the tasks don't start")
	}
	time.Sleep(5 * time.Second)
	lost := d.workers[0]
	for _, w := range d.workers {
		if w.load() > lost.load() {
			lost = w
		}
	}
	d.record.log("worker   %s loses power for good", lost.id)
	lostAt := time.Now()
	lost.goDark()
	lastTrouble := lostAt
	if isTrouble {
		time.Sleep(ownerLater)
		h := d.owner()
		if h == nil {
			fail("the owner of the tasks is not known")
		}
		<-h.signal(syscall.SIGKILL)
		time.Sleep(restartDelay)
		h.start()
		if !h.awaitReady() {
			fail("%s does not become ready", h.name)
		}
		lastTrouble = time.Now()
	}
	judgedFrom := lostAt.Add(lasting)
	if calm := lastTrouble.Add(near); calm.After(judgedFrom) {
		judgedFrom = calm
	}
	time.Sleep(time.Until(lostAt.Add(watchFor)))
	held := true
	for _, first := range d.record.startsOf(j.id) {
		if first.worker != lost.id || first.at.After(lostAt) {
			continue
		}
		var again time.Time
		for _, e := range d.record.startsOf(first.task) {
			if e.at.After(lostAt) && again.IsZero() {
				again = e.at
			}
		}
		isLate := again.IsZero() || again.After(judgedFrom.Add(quiet))
		if again.IsZero() {
			d.record.log("check    %s does not run again", first.task)
		} else {
			d.record.log("check    %s runs again %.3f s after its worker was lost; judged from %.3f s on, broken after %.3f s: %v", first.task,
				again.Sub(lostAt).Seconds(), judgedFrom.Sub(lostAt).Seconds(), judgedFrom.Add(quiet).Sub(lostAt).Seconds(), isLate)
		}
		held = held && !isLate
	}
	return held
}
