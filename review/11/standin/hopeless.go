package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// trafficTime is how long submissions come, one each trafficInterval. One of hopelessEvery can never be done.
	trafficTime     = 52 * time.Second
	trafficInterval = 250 * time.Millisecond
	hopelessEvery   = 33
	// A submission that can never be done is a gang of more tasks than the workers have room for: 2,800.
	hopelessTasks = 3000
	hopelessCPU   = 160
	// The others have steps of two tasks, one after the other.
	plainSteps = 4
	plainTasks = 2
	plainCPU   = 1000
	plainTime  = 300 * time.Millisecond
	// checkTime is how long rule LOST is checked, from finishTime after the end of the traffic on.
	checkTime = 24 * time.Second
)

// plainJob is an accepted submission that can be done.
type plainJob struct {
	id        string
	idleSince time.Time
	longest   time.Duration
}

// hopeless plays submissions that can never be done among others.
func (s *site) hopeless() error {
	if err := s.open(3, 8, rackWorkers, 0.16, siteSizes); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	jobs := s.submitTraffic()
	s.record.say("the traffic has ended; %d submissions that can be done were accepted", len(jobs))
	time.Sleep(finishTime)
	ended := time.Now()
	for time.Since(ended) < checkTime {
		time.Sleep(20 * time.Millisecond)
		if s.checkIdle(jobs, ended) == 0 {
			break
		}
	}
	waits, longest := 0, time.Duration(0)
	for _, j := range jobs {
		if j.longest >= lostFor {
			waits++
		}
		longest = max(longest, j.longest)
	}
	s.record.say("from %s after the end of the traffic on, %d submissions had nothing running for %s or more, the longest for %s; %d are not done",
		finishTime, waits, lostFor, longest.Round(10*time.Millisecond), s.checkIdle(jobs, ended))
	return nil
}

// submitTraffic submits jobs until the traffic ends, and returns those that can be done and were accepted.
func (s *site) submitTraffic() []*plainJob {
	var jobs []*plainJob
	var mu sync.Mutex
	var consumers sync.WaitGroup
	began, hopeless := time.Now(), 0
	for i := 0; time.Since(began) < trafficTime; i++ {
		id, body, isPlain := fmt.Sprintf("a%015x", i), plainBody(), true
		if i%hopelessEvery == 1 && s.trouble {
			body, isPlain = fmt.Sprintf(`{"spec":"plan","steps":[{"count":%d,"cpu":%d,"memMb":4,"estimateMs":1000,"allOrNothing":true}]}`,
				hopelessTasks, hopelessCPU), false
			hopeless++
		}
		s.fleet.expect(id, plainTime)
		consumers.Go(func() {
			for attempt := range 5 {
				if status, _ := consume(s.record, s.hosts[(i+attempt)%len(s.hosts)], "POST", id, body); status == 200 {
					if isPlain {
						mu.Lock()
						defer mu.Unlock()
						jobs = append(jobs, &plainJob{id: id})
					}
					return
				}
				time.Sleep(time.Second)
			}
		})
		time.Sleep(trafficInterval)
	}
	consumers.Wait()
	s.record.say("%d submissions that can never be done were sent", hopeless)
	return jobs
}

// plainBody is the body of a submission that can be done.
func plainBody() string {
	steps := ""
	for i := range plainSteps {
		if i > 0 {
			steps += ","
		}
		steps += fmt.Sprintf(`{"count":%d,"cpu":%d,"memMb":100,"estimateMs":300`, plainTasks, plainCPU)
		if i > 0 {
			steps += fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		steps += "}"
	}
	return `{"spec":"plan","steps":[` + steps + "]}"
}

// checkIdle checks rule LOST for jobs that are not done, and returns their number.
func (s *site) checkIdle(jobs []*plainJob, ended time.Time) int {
	free, all := 0, 0
	for _, w := range s.workers {
		free, all = free+w.freeFor(func(string) int { return plainCPU }), all+w.cpu
	}
	isIdle, now, open := 2*free > all, time.Now(), 0
	for _, j := range jobs {
		done, running := s.fleet.progress(j.id)
		if done == plainSteps*plainTasks {
			continue
		}
		open++
		if running > 0 || !isIdle || j.idleSince.IsZero() {
			j.idleSince = now
			continue
		}
		if idle := now.Sub(j.idleSince); idle >= lostFor && j.longest < lostFor {
			s.fleet.report(fmt.Sprintf("LOST: %s after the end of the traffic, submission %s has had nothing running for %s; %d of %d tasks are done, %.0f%% of the CPU is in use",
				(finishTime + now.Sub(ended)).Round(time.Millisecond), j.id, idle.Round(time.Millisecond), done, plainSteps*plainTasks,
				100-100*float64(free)/float64(all)))
		}
		j.longest = max(j.longest, now.Sub(j.idleSince))
	}
	return open
}

// progress returns how many tasks of a plain job are done and how many run.
func (f *fleet) progress(job string) (done, running int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for step := range plainSteps {
		for i := range plainTasks {
			task := fmt.Sprintf("%s.0.%d.%d", job, step, i)
			if f.done[task] != nil {
				done++
			}
			running += max(f.running[task], 0)
		}
	}
	return done, running
}
