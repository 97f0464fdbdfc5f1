package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// lostShare and lostTime are the largest dose of the site for answers of the store that are lost.
	lostShare = 0.35
	lostTime  = 4500 * time.Millisecond
	// hostStrength is the processor share of the site's small machines.
	hostStrength = 0.11
	// settleTime lets the hosts assign the racks to their shards before work comes.
	settleTime  = 5 * time.Second
	fillerTasks = 40
	// The jobs come from leadTime before the disturbance on. A waiting task is offered to other shards after 1.5 s or more.
	waitingJobs = 120
	jobInterval = 45 * time.Millisecond
	leadTime    = 2500 * time.Millisecond
	jobTime     = 300 * time.Millisecond
)

// lateWrite plays lost answers of the store while waiting tasks move from a full shard to another one, and then planned restarts.
func (s *site) lateWrite() error {
	if err := s.open(4, 10, 8, hostStrength, equalSizes); err != nil {
		return err
	}
	time.Sleep(settleTime)
	s.record.say("long-running tasks fill the workers of the shard that has rack r1-0")
	for i := range fillerTasks / 4 {
		id := fmt.Sprintf("f%015x", i)
		s.fleet.expect(id, 0)
		body := fmt.Sprintf(`{"spec":"watch","steps":[{"count":4,"cpu":%d,"memMb":100,"longRunning":true,"affinity":"r1-0"}]}`, workerCPU)
		if status, _ := consume(s.record, s.hosts[i%len(s.hosts)], "POST", id, body); status != 200 {
			return fmt.Errorf("a long-running job got %d", status)
		}
	}
	time.Sleep(5 * time.Second)
	isOver := make(chan struct{})
	go func() {
		defer close(isOver)
		time.Sleep(leadTime)
		if s.trouble {
			s.record.say("answers of the store are lost: %.2f of the writes, for %s", lostShare, lostTime)
			s.store.loseAnswers(lostShare)
		}
		time.Sleep(lostTime)
		s.store.loseAnswers(0)
	}()
	jobs := s.submitWaiting()
	<-isOver
	s.record.say("the store answers again; %d jobs were accepted", len(jobs))
	if err := s.awaitCompleted(jobs); err != nil {
		return err
	}
	time.Sleep(maxLateWrite + time.Second)
	s.record.say("writes without an answer: %d carried out late, %d whose condition did not hold any more",
		s.record.total("writes without an answer that were carried out late"),
		s.record.total("writes without an answer whose condition did not hold any more"))
	if err := s.rollHosts(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	s.record.say("%d starts, %d jobs completed", s.fleet.count(), len(jobs))
	return nil
}

// submitWaiting submits the short jobs, each with the consumer's retries, and returns those that were accepted.
func (s *site) submitWaiting() []string {
	var jobs []string
	var mu sync.Mutex
	var consumers sync.WaitGroup
	for i := range waitingJobs {
		id := fmt.Sprintf("a%015x", i)
		s.fleet.expect(id, jobTime)
		body := `{"spec":"plan","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300,"affinity":"r1-0"}]}`
		consumers.Go(func() {
			for attempt := range 5 {
				if status, _ := consume(s.record, s.hosts[(i+attempt)%len(s.hosts)], "POST", id, body); status == 200 {
					mu.Lock()
					defer mu.Unlock()
					jobs = append(jobs, id)
					return
				}
			}
		})
		time.Sleep(jobInterval)
	}
	consumers.Wait()
	return jobs
}

// awaitCompleted waits until consumers see jobs as completed.
func (s *site) awaitCompleted(jobs []string) error {
	deadline := time.Now().Add(30 * time.Second)
	for _, id := range jobs {
		for {
			if _, answer := consume(s.record, s.hosts[0], "GET", id, ""); answer == `{"state":"completed"}`+"\n" {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("job %s is not completed in time", id)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.record.say("all jobs are completed")
	return nil
}

func (f *fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}
