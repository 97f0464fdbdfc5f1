// Command standin plays the platform, the workers, the operator and the consumers of a small deployment for the scripts of the review,
// and starts the entry hosts as processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// deployment is a small deployment of stand-ins and entry hosts.
type deployment struct {
	folder  string
	hosts   []*host
	record  *record
	store   *store
	workers []*worker
}

// cases maps the names of cases to their functions, which return whether the rule held.
var cases = map[string]func(d *deployment, isTrouble bool) bool{
	"removed-route":   removedRoute,
	"late-submission": lateSubmission,
	"hopeless":        hopeless,
	"lost-rack":       lostRack,
	"silent-owner":    silentOwner,
}

var cleanup = func() {}

// fail ends the program because the case can't run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	cleanup()
	os.Exit(exitNotRun)
}

func main() {
	name := flag.String("case", "", "the case to run")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	logs := flag.String("logs", "", "keep the logs of the hosts in this folder")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fail("no case %q", *name)
	}
	isTrouble := os.Getenv("TROUBLE") != "0"
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	d := &deployment{folder: folder, record: newRecord(*path)}
	if *logs != "" {
		d.folder = *logs
	}
	cleanup = func() {
		for _, h := range d.hosts {
			h.kill()
		}
		_ = os.RemoveAll(folder)
	}
	d.record.log("case %s, trouble %v", *name, isTrouble)
	held := play(d, isTrouble)
	cleanup()
	if !held {
		d.record.log("result   the rule was broken")
		os.Exit(exitBroken)
	}
	d.record.log("result   the rule held")
	os.Exit(exitHeld)
}

// begin starts the store, the workers and the hosts, and waits until all hosts are ready.
func (d *deployment) begin(hosts, workers int, maxLease time.Duration, routes ...route) {
	d.store = newStore(d.record)
	for n := range workers {
		zone := fmt.Sprintf("z%d", n%hosts+1)
		d.addWorkers(1, zone, []string{"a", "r1-" + zone}, maxLease)
	}
	d.startHosts(hosts, "0.16", maxLease, routes...)
}

// addWorkers starts workers with labels, which are a kind and a rack.
func (d *deployment) addWorkers(n int, zone string, labels []string, maxLease time.Duration) []*worker {
	first := len(d.workers)
	for range n {
		d.workers = append(d.workers, newWorker(d.store, d.record, len(d.workers), zone, labels, maxLease))
	}
	return d.workers[first:]
}

// startHosts writes the first config, starts the hosts and waits until all are ready and consumers come.
func (d *deployment) startHosts(hosts int, cpuShare string, maxLease time.Duration, routes ...route) {
	putConfig(d.store, d.record, 1, routes...)
	for n := range hosts {
		h := newHost(d.record, d.folder, d.store.address, n+1, fmt.Sprintf("z%d", n%hosts+1), cpuShare, maxLease)
		d.hosts = append(d.hosts, h)
		h.start()
	}
	for _, h := range d.hosts {
		if !h.awaitReady() {
			fail("%s does not become ready", h.name)
		}
	}
	// Consumers come 10 s after the machines.
	time.Sleep(7 * time.Second)
	d.record.log("platform all hosts are ready; consumers come")
}

// await waits until a condition holds.
func await(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if condition() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return condition()
}

// runsOf returns how many tasks of a job, by a prefix of their names, run now.
func (d *deployment) isRunning(prefix string) bool {
	for _, w := range d.workers {
		if w.hasRun(prefix) {
			return true
		}
	}
	return false
}
