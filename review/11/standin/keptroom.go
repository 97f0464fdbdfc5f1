package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// The workers of two of eight racks are larger than the others.
	smallRackCPU = 8000
	largeRackCPU = 20000
	rackWorkers  = 6
	smallRacks   = 6
	largeRacks   = 2
	// A submission runs shortCount tasks again and again, each of which needs a large worker.
	scheduledJob  = "a000000000000000"
	shortCPU      = 18000
	shortCount    = 12
	shortTime     = 300 * time.Millisecond
	shortInterval = 6 * time.Second
	occurrences   = 40
	// Two submissions last, one from before and one from after the loss. Their tasks need a large worker, too.
	earlierJob = "f000000000000001"
	laterJob   = "f000000000000002"
	lastingCPU = 10000
	// silenceTime is three intervals of status reports, after which the entry of a silent worker is removed.
	silenceTime = 4500 * time.Millisecond
	// lossTime is how long the system is given after the loss until the second submission.
	lossTime = 14 * time.Second
	// finishTime is finish_s of the site.
	finishTime = 14 * time.Second
	// watchTime is how long the case goes on after that.
	watchTime = 30 * time.Second
)

// keptRoom plays a submission that lasts beside short tasks which come again and again, after a rack of large workers was lost.
func (s *site) keptRoom() error {
	size := func(worker int) int {
		if worker >= smallRacks*rackWorkers {
			return largeRackCPU
		}
		return smallRackCPU
	}
	if err := s.open(3, smallRacks+largeRacks, rackWorkers, 0.16, size); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	s.fleet.expect(scheduledJob, shortTime)
	s.fleet.expect(earlierJob, 0)
	s.fleet.expect(laterJob, 0)
	scheduled := fmt.Sprintf(`{"spec":"plan","repeatCount":%d,"startAtMs":%d,"intervalMs":%d,"steps":[{"count":%d,"cpu":%d,"memMb":100,"estimateMs":300}]}`,
		occurrences, time.Now().Add(time.Second).UnixMilli(), shortInterval.Milliseconds(), shortCount, shortCPU)
	if err := s.submitOnce(scheduledJob, scheduled); err != nil {
		return err
	}
	time.Sleep(shortInterval)
	lasting := fmt.Sprintf(`{"spec":"watch","steps":[{"count":1,"cpu":%d,"memMb":100,"longRunning":true}]}`, lastingCPU)
	if err := s.submitOnce(earlierJob, lasting); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if !s.fleet.isRunning(earlierJob + ".0.0.0") {
		return fmt.Errorf("the task of %s does not run before the loss", earlierJob)
	}
	s.record.say("the task of the earlier submission runs")
	if s.trouble {
		s.loseRack(fmt.Sprintf("r1-%d", smallRacks))
	}
	time.Sleep(lossTime)
	if err := s.submitOnce(laterJob, lasting); err != nil {
		return err
	}
	s.watchLater()
	return nil
}

// submitOnce submits a job at the first host.
func (s *site) submitOnce(id, body string) error {
	if status, _ := consume(s.record, s.hosts[0], "POST", id, body); status != 200 {
		return fmt.Errorf("job %s got %d", id, status)
	}
	return nil
}

// loseRack loses the workers of a rack for good.
func (s *site) loseRack(rack string) {
	n := 0
	for _, w := range s.workers {
		if w.rack == rack {
			w.lose()
			time.AfterFunc(silenceTime, func() { s.store.remove("servers/" + w.id) })
			n++
		}
	}
	s.record.say("the %d workers of rack %s are lost for good", n, rack)
}

// watchLater checks rule LOST for the later submission, the last one of the traffic.
func (s *site) watchLater() {
	submitted, task := time.Now(), laterJob+".0.0.0"
	idleSince, isReported := time.Now(), false
	for time.Since(submitted) < finishTime+watchTime {
		time.Sleep(20 * time.Millisecond)
		if s.fleet.isRunning(task) {
			s.record.say("the task of the later submission runs %s after its acceptance", time.Since(submitted).Round(time.Millisecond))
			return
		}
		room, share := s.roomFor(lastingCPU)
		if room < 2 || share >= 0.5 || time.Since(submitted) < finishTime {
			idleSince = time.Now()
			continue
		}
		if time.Since(idleSince) >= lostFor && !isReported {
			isReported = true
			s.fleet.report(fmt.Sprintf("LOST: %s after the last submission, task %s has had nothing running for %s with room for it %d times over, while %.0f%% of the CPU is in use",
				time.Since(submitted).Round(time.Millisecond), task, time.Since(idleSince).Round(time.Millisecond), room, 100*share))
		}
	}
	_, answer := consume(s.record, s.hosts[0], "GET", laterJob, "")
	s.record.say("%s after its acceptance, the later submission has not begun; shown: %s", time.Since(submitted).Round(time.Second),
		strings.TrimSpace(answer))
}

// roomFor returns how many tasks that need some CPU the workers have room for, and the share of the CPU that is in use.
func (s *site) roomFor(cpu int) (tasks int, share float64) {
	free, sum := 0, 0
	for _, w := range s.workers {
		n := w.freeFor(needOf)
		if n < 0 {
			continue // the worker is lost
		}
		free, sum, tasks = free+n, sum+w.cpu, tasks+n/cpu
	}
	return tasks, 1 - float64(free)/float64(sum)
}

// needOf returns the CPU that a task of the case needs.
func needOf(task string) int {
	if strings.HasPrefix(task, scheduledJob) {
		return shortCPU
	}
	return lastingCPU
}

// freeFor returns the CPU that the runs of a worker leave free, or -1 if the worker is lost.
func (w *worker) freeFor(need func(task string) int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDark {
		return -1
	}
	free := w.cpu
	for _, r := range w.runs {
		free -= need(r.task)
	}
	return free
}
