package main

import (
	"fmt"
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
	waitingJobs = 24
	jobTime     = 500 * time.Millisecond
)

// lateWrite plays lost answers of the store while waiting tasks move from a full shard to another one, and then planned restarts.
func (s *site) lateWrite() error {
	if err := s.open(4, 10, 8, hostStrength); err != nil {
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
	var jobs []string
	if s.trouble {
		s.record.say("answers of the store are lost: %.2f of the writes, for %s", lostShare, lostTime)
		s.store.loseAnswers(lostShare)
	}
	end := time.After(lostTime)
	for i := range waitingJobs {
		id := fmt.Sprintf("a%015x", i)
		s.fleet.expect(id, jobTime)
		body := `{"spec":"plan","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":500,"affinity":"r1-0"}]}`
		for attempt := range 5 {
			status, _ := consume(s.record, s.hosts[(i+attempt)%len(s.hosts)], "POST", id, body)
			if status == 200 {
				jobs = append(jobs, id)
				break
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	<-end
	s.store.loseAnswers(0)
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
