package entry_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

const (
	// waitWindow is for how long a task must wait beside room without a break to count as standing still. The delay before the next
	// attempt, a probation and a failed poll are shorter.
	waitWindow   = 5 * time.Second
	waitInterval = 250 * time.Millisecond
	// quietTime is the time after the last disturbance from which on nothing may wait beside room: the longest lease, a takeover and the
	// longest quarantine have passed.
	quietTime = 30 * time.Second
)

// standstillAnyShard makes the check fail for what shard-exchange.md says is not mended.
var standstillAnyShard = flag.Bool("standstill-any-shard", false, "count the room of all shards also for jobs that don't move")

// workerRoom is what a worker has left beside its present runs.
type workerRoom struct {
	free  fleet.Resources
	runs  map[string]int // by job and step
	shard int
	*simulatedWorker
}

// checkNothingWaits checks for two windows that nothing waits beside room: each job on record that is neither done nor cancelled has a
// run, or no task whose turn has come finds room for it twice over. The same holds for each long-running task that ran before. It reads
// the records in the store and the runs of the workers, and nothing that owners know.
func (f *simulatedFleet) checkNothingWaits(when string) {
	f.t.Helper()
	since := map[string]time.Time{}
	for end := time.Now().Add(2 * waitWindow); time.Now().Before(end); time.Sleep(waitInterval) {
		waiting := f.waitingBesideRoom()
		for task := range since {
			if _, ok := waiting[task]; !ok {
				delete(since, task)
			}
		}
		for task, room := range waiting {
			if _, ok := since[task]; !ok {
				since[task] = time.Now()
			}
			if time.Since(since[task]) >= waitWindow {
				assert.Check(f.t, false, "%s: %s waits beside room on %s; owners: %v", when, task, room, f.owners())
				return
			}
		}
	}
}

// waitingBesideRoom returns the tasks that wait although workers have room for them, with these workers.
func (f *simulatedFleet) waitingBesideRoom() map[string]string {
	out := map[string]string{}
	rooms, running := f.rooms()
	kvs, _ := f.store.readRange(entry.JobPrefix)
	for _, kv := range kvs {
		shard, j, ok := f.openJob(kv.Key, kv.Value)
		if !ok {
			continue
		}
		p, _ := workflow.Decode[workflow.Progress](f.store.get(entry.ProgressPrefix + fmt.Sprintf("%d/%s", shard, j.ID)).Value)
		done, ran := map[workflow.TaskKey]bool{}, map[workflow.TaskKey]bool{}
		for _, rec := range p.Tasks {
			done[rec.Key], ran[rec.Key] = rec.Done, rec.Run > 0
		}
		for k := p.DoneThrough; k < j.OccurrenceCount() && j.DueAt(k) <= time.Now().UnixMilli(); k++ {
			for s := range j.Steps {
				if !isReady(j, k, s, done) {
					continue
				}
				for i := range j.Steps[s].Count {
					key := workflow.TaskKey{Occurrence: k, Step: s, Index: i}
					name := key.Name(j.ID)
					mustRun := running[j.ID] == 0 || j.Steps[s].LongRunning && ran[key]
					if done[key] || running[name] > 0 || !mustRun {
						continue
					}
					if room := roomFor(rooms, j, key, shard, ran[key]); room != "" {
						out[name] = room
					}
				}
			}
		}
	}
	return out
}

// openJob returns the job of a record in its home shard if it is not cancelled.
func (f *simulatedFleet) openJob(key string, value []byte) (shard int, j workflow.Job, ok bool) {
	parts := strings.Split(strings.TrimPrefix(key, entry.JobPrefix), "/")
	if _, err := fmt.Sscan(parts[0], &shard); err != nil || len(parts) != 2 || f.store.get(key+"/cancel").ModRevision != 0 {
		return 0, j, false
	}
	j, err := workflow.Decode[workflow.Job](value)
	if err == nil && j.Check() == nil {
		return shard, j, true
	}
	shared, ok := workflow.DecodeSharedJob(value)
	return shard, shared.Job, ok && shared.Home == shard
}

// isReady reports whether all steps before a step are done.
func isReady(j workflow.Job, occurrence, step int, done map[workflow.TaskKey]bool) bool {
	for _, before := range j.Steps[step].After {
		for i := range j.Steps[before].Count {
			if !done[workflow.TaskKey{Occurrence: occurrence, Step: before, Index: i}] {
				return false
			}
		}
	}
	return true
}

// rooms returns the room of each worker that takes tasks, and the number of runs of each job and task.
func (f *simulatedFleet) rooms() ([]workerRoom, map[string]int) {
	var out []workerRoom
	running := map[string]int{}
	for id, w := range f.workers {
		w.mu.Lock()
		r := workerRoom{free: w.free(), runs: map[string]int{}, simulatedWorker: w}
		for name, s := range w.runs {
			running[s.Job]++
			running[name]++
			r.runs[stepName(s.Job, s.Key)]++
		}
		takesTasks := w.isReachable() && !w.Draining && f.store.get(id).ModRevision != 0
		w.mu.Unlock()
		if _, err := fmt.Sscanf(w.Rack, rackName(0)[:len("rack-")]+"%d", &r.shard); err == nil && takesTasks {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b workerRoom) int { return strings.Compare(a.ID, b.ID) })
	return out, running
}

func stepName(job string, k workflow.TaskKey) string {
	return fmt.Sprintf("%s.%d.%d", job, k.Occurrence, k.Step)
}

func reserved(s workflow.Step) fleet.Resources {
	if s.BestEffort {
		s.Resources.CPUMilli = 0
	}
	return s.Resources
}

// roomFor returns the workers that have room for a task twice over, or for all tasks of a gang; "" if they have not. A task looks for
// room in its shard, and one that may move in all of them. Room that is kept for short tasks is none for a long-running task that never
// ran: less than half of the shard's CPU must be in use.
func roomFor(rooms []workerRoom, j workflow.Job, k workflow.TaskKey, shard int, ran bool) string {
	s := j.Steps[k.Step]
	inShard := slices.DeleteFunc(slices.Clone(rooms), func(r workerRoom) bool { return r.shard != shard })
	if mayMove(j) || *standstillAnyShard {
		inShard = rooms
	}
	if s.LongRunning && !ran {
		inShard = slices.DeleteFunc(slices.Clone(inShard), func(r workerRoom) bool { return !isHalfFree(rooms, r.shard) })
	}
	need := 2
	if s.Gang {
		need = s.Count + 1
	}
	var found []string
	for _, r := range inShard {
		free, same := r.free, r.runs[stepName(j.ID, k)]
		for len(found) < need && r.HasLabel(s.Label) && reserved(s).FitsIn(free) && (s.PerWorker == 0 || same < s.PerWorker) {
			free, same, found = free.Sub(reserved(s)), same+1, append(found, r.ID)
		}
	}
	if len(found) < need {
		return ""
	}
	return strings.Join(found, ", ")
}

func isHalfFree(rooms []workerRoom, shard int) bool {
	free, capacity := int64(0), int64(0)
	for _, r := range rooms {
		if r.shard == shard {
			free, capacity = free+r.free.CPUMilli, capacity+r.Capacity.CPUMilli
		}
	}
	return 2*free > capacity
}

// mayMove reports whether tasks of a job may be held by other shards than its home.
func mayMove(j workflow.Job) bool {
	lasts := j.Lasts()
	for _, s := range j.Steps {
		if s.LongRunning != lasts || s.Gang || s.BestEffort || s.Speculative || s.SameRack && !lasts || lasts && len(s.After) > 0 {
			return false
		}
	}
	return j.Occurrences == 0 || !lasts && j.Occurrences == 1
}
