// Program standin plays a case of the review: it is the platform's store, the workers and the consumers for processes of the program under
// test, which it starts and ends.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is the longest time of a case.
const maxTime = 115 * time.Second

var errUnknownCase = errors.New("no such case")

// site holds the stand-ins of a case and the hosts.
type site struct {
	dir   string
	fleet *fleet
	// fullRack is a rack of the common kind in the shard of the rare one.
	fullRack string
	// kindOf returns the kind of a rack's workers, unless it is nil.
	kindOf  func(rack string) string
	hosts   []*host
	program string
	// rareJobs is the number of submissions that need the rare kind.
	rareJobs int
	record   *record
	store    *store
	trouble  bool
	workers  []*worker
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	out := flag.String("record", "record.txt", "the file for the record")
	program := flag.String("program", "", "the program under test")
	rare := flag.Int("rare-jobs", rareJobs, "the submissions of case 12 that need the rare kind")
	trouble := flag.Bool("trouble", true, "whether the disruption comes")
	flag.Parse()
	r, err := newRecord(*out)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	keep := os.Getenv("KEEP_LOGS") != ""
	s := &site{dir: dir, fleet: newFleet(r), program: *program, rareJobs: *rare, record: r, trouble: *trouble}
	defer func() {
		for _, h := range s.hosts {
			h.kill()
		}
		if !keep {
			_ = os.RemoveAll(dir)
		}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan error, 1)
	go func() { result <- s.playCase(*name) }()
	select {
	case err = <-result:
	case <-ended:
		err = errors.New("the case was ended")
	case <-time.After(maxTime):
		err = errors.New("the case took too long")
	}
	if keep {
		r.say("logs are in %s", dir)
	}
	if err != nil {
		r.say("the case could not run: %s", err)
		return exitNotRun
	}
	broken := s.fleet.broken()
	for i, text := range broken {
		if i == 5 {
			r.say("and %d more", len(broken)-i)
			break
		}
		r.say("%s", text)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}

func (s *site) playCase(name string) error {
	switch name {
	case "11":
		return s.lateWrite()
	case "12":
		return s.lostKind()
	case "13":
		return s.hotRack()
	case "14":
		return s.keptRoom()
	case "15":
		return s.hopeless()
	}
	return errUnknownCase
}

// sizeOf returns the CPU of a worker by its number.
type sizeOf func(worker int) int

func equalSizes(int) int { return workerCPU }

// siteSizes are those of the site: of three workers, the last one has half as much more than the others.
func siteSizes(worker int) int {
	if worker%3 == 2 {
		return largeCPU
	}
	return workerCPU
}

// open starts the store, workers in racks and hosts, and waits until jobs are accepted.
func (s *site) open(hosts, racks, workersPerRack int, strength float64, size sizeOf) error {
	var err error
	if s.store, err = newStore(s.record); err != nil {
		return err
	}
	s.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-plan", "host": "rooms.example", "prefix": "/plan/", "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000,
			"priority": 0, "service": "ripenctl", "maxAttempts": 3, "stretch": 2,
		}},
		"services": []map[string]any{{"name": "ripenctl", "healthPath": "/health", "maxConnections": 64, "admissionCheck": false}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	})
	for i := range racks * workersPerRack {
		w, err := newWorker(s.fleet, fmt.Sprintf("i-%03d", i), fmt.Sprintf("r1-%d", i/workersPerRack), size(i))
		if err != nil {
			return err
		}
		if s.kindOf != nil {
			w.kind = s.kindOf(w.rack)
		}
		s.workers = append(s.workers, w)
		s.store.put("servers/"+w.id, w.entry())
	}
	for i := range hosts {
		h, err := newHost(s.dir, s.program, fmt.Sprintf("front-%d", i), s.store.address, strength, s.fleet.maxHold)
		if err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	if err := awaitReady(s.hosts); err != nil {
		return err
	}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		s.fleet.expect("00000000000000ff", 200*time.Millisecond)
		if status, _ := consume(s.record, s.hosts[0], "POST", "00000000000000ff", `{"spec":"x","steps":[{"count":1,"cpu":100,"memMb":10}]}`); status == 200 {
			return nil
		}
	}
	return errNotReady
}

// expect says how long the tasks of a job run; 0 means that they last.
func (f *fleet) expect(job string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.durations[job] = d
}

// rollHosts stops the hosts one after the other and starts them again, as the platform does for planned work.
func (s *site) rollHosts() error {
	for _, h := range s.hosts {
		s.record.say("planned work: SIGTERM to %s", h.name)
		h.end()
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			return err
		}
		if err := awaitReady([]*host{h}); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}
