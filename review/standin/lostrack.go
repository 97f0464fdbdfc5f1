package main

import "time"

// lostRack plays the loss of all workers of one rack. Another rack has workers of the same kind and is almost idle, and it is assigned
// to another shard.
func lostRack(d *deployment, isTrouble bool) bool {
	const (
		maxLease         = 6 * time.Second
		plainRacks       = 10
		plainRackSize    = 12
		specialRackSize  = 12
		special          = "b"
		submissions      = 12
		tasks            = 2
		newSubmissions   = 12
		lasting, near    = 6 * time.Second, 4 * time.Second
		watchFor         = 30 * time.Second
		startTime, quiet = 10 * time.Second, 3 * time.Second
	)
	to := newRoute(kept)
	d.store = newStore(d.record)
	zones := []string{"z1", "z2", "z3"}
	for n := range plainRacks {
		zone := zones[n%len(zones)]
		d.addWorkers(plainRackSize, zone, []string{"a", "r-" + string(rune('a'+n))}, maxLease)
	}
	d.startHosts(3, "0.192", maxLease, to)
	racks := [][]*worker{}
	for n, rack := range []string{"r-x", "r-y"} {
		racks = append(racks, d.addWorkers(specialRackSize, zones[n], []string{special, rack}, maxLease))
		d.record.log("worker   rack %s of %d workers of kind %s is added", rack, specialRackSize, special)
		time.Sleep(4 * time.Second)
	}
	submitMore := func(n int) []submission {
		var list []submission
		for i := range n {
			j := submission{id: newID(), route: to, spec: spec(0), steps: []step{
				{Count: tasks, CPU: 500, LongRunning: true, MemMb: 64, Requirements: special},
			}}
			if !submit(d.record, d.hosts[i%len(d.hosts):], j) {
				fail("a submission is not accepted")
			}
			list = append(list, j)
		}
		return list
	}
	list := submitMore(submissions)
	if !await(10*time.Second, func() bool {
		for _, j := range list {
			if len(d.record.startsOf(j.id)) < tasks {
				return false
			}
		}
		return true
	}) {
		fail("not all tasks start while nothing is lost")
	}
	time.Sleep(3 * time.Second)
	lostAt := time.Now()
	if isTrouble {
		d.record.log("worker   rack r-x is lost for good")
		for _, w := range racks[0] {
			w.goDark()
		}
	}
	time.Sleep(watchFor)
	held := true
	for _, j := range list {
		for _, first := range d.record.startsOf(j.id) {
			if !isTrouble || first.at.After(lostAt) || !isOf(racks[0], first.worker) {
				continue
			}
			isAgain := false
			for _, e := range d.record.startsOf(first.task) {
				isAgain = isAgain || e.at.After(lostAt)
			}
			if !isAgain {
				d.record.log("check    %s has not run for %s since its worker was lost", first.task, time.Since(lostAt).Round(time.Second))
				held = false
			}
		}
	}
	list = submitMore(newSubmissions)
	time.Sleep(startTime + quiet)
	for _, j := range list {
		if len(d.record.startsOf(j.id)) == 0 {
			d.record.log("check    new submission %s has not started for %s", j.id, startTime+quiet)
			held = false
		}
	}
	runs := 0
	for _, w := range racks[1] {
		runs += w.load()
	}
	d.record.log("check    rack r-y has %d runs of 500 thousandths of a core on %d workers of 8 cores", runs, specialRackSize)
	return held
}

func isOf(list []*worker, id string) bool {
	for _, w := range list {
		if w.id == id {
			return true
		}
	}
	return false
}
