package main

import (
	"fmt"
	"time"
)

const (
	kindRacks = 15
	// rareKind is the kind of the workers of one rack.
	rareKind = "b"
	rareRack = "r1-0"
	// rareJobs submissions that last need the rare kind. Each has another size.
	rareJobs = 18
	// fillTasks is the number of tasks of a submission that lasts and fills workers of the common kind.
	fillTasks   = 3
	maxFillJobs = 26
	// kindMaxHold is maxHoldMs of the site.
	kindMaxHold = 6 * time.Second
	// leaseTime is how long the system is given after a loss, which is longer than any lease: finish_s of the site.
	leaseTime = 14 * time.Second
	// moveTime is how long the case goes on after the second loss.
	moveTime = 45 * time.Second
)

// lostKind plays the loss of the only rack of a kind, and later that of a rack of another kind in the same shard, which is full.
func (s *site) lostKind() error {
	s.kindOf = func(rack string) string {
		if rack == rareRack {
			return rareKind
		}
		return commonKind
	}
	s.fleet.maxHold = kindMaxHold
	if err := s.open(4, kindRacks, rackWorkers, hostStrength, equalSizes); err != nil {
		return err
	}
	time.Sleep(settleTime)
	for i := range s.rareJobs {
		id := fmt.Sprintf("b%015x", i)
		s.fleet.expect(id, 0)
		body := fmt.Sprintf(`{"spec":"watch","steps":[{"count":1,"cpu":%d,"memMb":100,"longRunning":true,"requirements":%q}]}`, 300+10*i, rareKind)
		if err := s.submitOnce(id, body); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	fills, err := s.fillShard()
	if err != nil {
		return err
	}
	s.fullRack = s.shardMates(s.workers[0])[0].rack
	if s.trouble {
		s.loseRack(rareRack)
	}
	time.Sleep(leaseTime)
	s.loseFullRack(fills)
	return nil
}

// shardMates returns the other workers of the common kind that the owner of a worker's shard calls: it has one token for all of them.
func (s *site) shardMates(of *worker) []*worker {
	token := of.highestToken()
	var mates []*worker
	for _, w := range s.workers {
		if w.kind == commonKind && w.highestToken() == token {
			mates = append(mates, w)
		}
	}
	return mates
}

func (w *worker) highestToken() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.token
}

// tasks returns the tasks that run on a worker.
func (w *worker) tasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var tasks []string
	for _, r := range w.runs {
		tasks = append(tasks, r.task)
	}
	return tasks
}

// fillShard submits tasks that last until each worker of the common kind in the shard of the rare one has one, and returns the jobs.
func (s *site) fillShard() ([]string, error) {
	var jobs []string
	for i := range maxFillJobs {
		empty := 0
		for _, w := range s.shardMates(s.workers[0]) {
			if len(w.tasks()) == 0 {
				empty++
			}
		}
		if empty == 0 {
			time.Sleep(5 * time.Second) // tasks that wait move to the other shard
			s.record.say("%d submissions that last fill the shard of rack %s", len(jobs), rareRack)
			return jobs, nil
		}
		id := fmt.Sprintf("f%015x", i)
		s.fleet.expect(id, 0)
		body := fmt.Sprintf(`{"spec":"watch","steps":[{"count":%d,"cpu":%d,"memMb":100,"longRunning":true,"requirements":%q,"affinity":%q}]}`,
			fillTasks, workerCPU, commonKind, rareRack)
		if err := s.submitOnce(id, body); err != nil {
			return nil, err
		}
		jobs = append(jobs, id)
		time.Sleep(500 * time.Millisecond)
	}
	return nil, fmt.Errorf("the shard is not full after %d submissions", maxFillJobs)
}

// loseFullRack loses a rack of the shard that lost the rare kind, and checks rule LOST for the tasks that ran there.
func (s *site) loseFullRack(fills []string) {
	var tasks []string
	for _, w := range s.workers {
		if w.rack == s.fullRack {
			tasks = append(tasks, w.tasks()...)
		}
	}
	if s.trouble {
		s.loseRack(s.fullRack)
	}
	lostAt := time.Now()
	idleSince, isReported, back := map[string]time.Time{}, map[string]bool{}, map[string]bool{}
	for time.Since(lostAt) < moveTime {
		time.Sleep(20 * time.Millisecond)
		room := s.emptyWorkers()
		for _, task := range tasks {
			if s.fleet.isRunning(task) {
				if s.trouble && !back[task] {
					back[task] = true
					s.record.say("task %s runs again %s after the loss", task, time.Since(lostAt).Round(10*time.Millisecond))
				}
				delete(idleSince, task)
				continue
			}
			if idleSince[task].IsZero() || room < 2*len(tasks) || time.Since(lostAt) < leaseTime {
				idleSince[task] = time.Now()
			}
			if time.Since(idleSince[task]) >= lostFor && !isReported[task] {
				isReported[task] = true
				s.fleet.report(fmt.Sprintf("LOST: %s after the loss, task %s, which lasts, has nothing running, while %d workers of its kind are empty",
					time.Since(lostAt).Round(time.Millisecond), task, room))
			}
		}
	}
	idle := 0
	for _, task := range tasks {
		if !s.fleet.isRunning(task) {
			idle++
		}
	}
	s.record.say("%s after the loss, %d of %d tasks have nothing running, and %d workers of their kind are empty (%d submissions)",
		time.Since(lostAt).Round(time.Second), idle, len(tasks), s.emptyWorkers(), len(fills))
}

// emptyWorkers returns the number of workers of the common kind that run nothing.
func (s *site) emptyWorkers() int {
	n := 0
	for _, w := range s.workers {
		w.mu.Lock()
		if w.kind == commonKind && !w.isDark && len(w.runs) == 0 {
			n++
		}
		w.mu.Unlock()
	}
	return n
}
