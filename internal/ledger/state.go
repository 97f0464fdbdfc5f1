package ledger

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// JobRetention is how long the record of a job is kept after its end, to detect a repeated submission by its id.
const JobRetention = time.Hour

// ErrInvalidChange means that a change contradicts the state that it is applied to.
var ErrInvalidChange = eris.New("invalid ledger change")

// State is the immutable result of replaying the log up to some entry. The zero value is the state of an empty
// log.
type State struct {
	epoch int64
	jobs  map[string]JobRecord
	owner string
	tasks map[string]Task
}

type stateJSON struct {
	Epoch int64       `json:"epoch"`
	Jobs  []JobRecord `json:"jobs"`
	Owner string      `json:"owner"`
	Tasks []Task      `json:"tasks"`
}

// Apply returns the state after a log entry, and leaves s unchanged. Errors match ErrInvalidChange.
func (s State) Apply(b Batch) (State, error) {
	next := State{epoch: s.epoch, jobs: maps.Clone(s.jobs), owner: s.owner, tasks: maps.Clone(s.tasks)}
	if next.jobs == nil {
		next.jobs, next.tasks = map[string]JobRecord{}, map[string]Task{}
	}
	for _, c := range b.Changes {
		if err := next.applyChange(c, b.At); err != nil {
			return s, err
		}
	}
	next.deleteExpiredJobs(b.At)
	return next, nil
}

// Epoch returns the epoch of the last takeover, or 0 if there was none.
func (s State) Epoch() int64 { return s.epoch }

// Job returns the record of a job, and whether there is one.
func (s State) Job(id string) (JobRecord, bool) {
	j, ok := s.jobs[id]
	return j, ok
}

// Jobs returns all recorded jobs, sorted by id.
func (s State) Jobs() []JobRecord { return sortedValues(s.jobs) }

// MarshalJSON encodes the state as a snapshot.
func (s State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateJSON{Epoch: s.epoch, Jobs: s.Jobs(), Owner: s.owner, Tasks: s.Tasks()})
}

// Owner returns the id of the host that took over last.
func (s State) Owner() string { return s.owner }

// Task returns the record of a task, and whether there is one.
func (s State) Task(id string) (Task, bool) {
	t, ok := s.tasks[id]
	return t, ok
}

// Tasks returns all recorded tasks, sorted by id.
func (s State) Tasks() []Task { return sortedValues(s.tasks) }

// UnmarshalJSON decodes a snapshot.
func (s *State) UnmarshalJSON(data []byte) error {
	var in stateJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	*s = State{epoch: in.Epoch, jobs: map[string]JobRecord{}, owner: in.Owner, tasks: map[string]Task{}}
	for _, j := range in.Jobs {
		s.jobs[j.Job.ID] = j
	}
	for _, t := range in.Tasks {
		s.tasks[t.ID] = t
	}
	return nil
}

func (s State) addJob(j Job) error {
	if _, ok := s.jobs[j.ID]; ok {
		return eris.Wrapf(ErrInvalidChange, "job %s is already recorded", j.ID)
	}
	s.jobs[j.ID] = JobRecord{Job: j, Open: j.Tasks}
	for _, id := range j.TaskIDs() {
		s.tasks[id] = Task{ID: id, Job: j.ID, Phase: PhaseQueued}
	}
	return nil
}

func (s *State) applyChange(c Change, at int64) error {
	switch c.Kind {
	case ChangeAccept:
		if c.Job == nil {
			return eris.Wrap(ErrInvalidChange, "accept change has no job")
		}
		return s.addJob(*c.Job)
	case ChangePark, ChangeWithdraw:
		return s.closeJob(c, at)
	case ChangeTakeOver:
		if c.Epoch <= s.epoch {
			return eris.Wrapf(ErrInvalidChange, "takeover epoch %d is not above the current epoch %d", c.Epoch, s.epoch)
		}
		s.epoch, s.owner = c.Epoch, c.Owner
		return nil
	}
	t, ok := s.tasks[c.Task]
	if !ok {
		return eris.Wrapf(ErrInvalidChange, "change of kind %q for unknown task %q", c.Kind, c.Task)
	}
	if t.Phase.IsEnd() {
		return eris.Wrapf(ErrInvalidChange, "change of kind %q for task %s, which has ended as %s", c.Kind, t.ID, t.Phase)
	}
	switch c.Kind {
	case ChangeBind:
		if t.Phase == PhaseParked {
			return eris.Wrapf(ErrInvalidChange, "task %s is parked and can't be bound", t.ID)
		}
		t.Attempt, t.NoEpochs, t.Phase, t.Worker = c.Attempt, c.NoEpochs, PhaseBound, c.Worker
		t.Checkpoint = max(t.Checkpoint, c.Checkpoint)
	case ChangeCheckpoint:
		t.Checkpoint = max(t.Checkpoint, c.Checkpoint)
	case ChangeEnd:
		if !c.Phase.IsEnd() {
			return eris.Wrapf(ErrInvalidChange, "task %s can't end in phase %s", t.ID, c.Phase)
		}
		t.Attempt, t.Phase, t.Reason = c.Attempt, c.Phase, c.Reason
		s.countTaskEnd(t.Job, at)
	default:
		return eris.Wrapf(ErrInvalidChange, "unknown change kind %q", c.Kind)
	}
	s.tasks[t.ID] = t
	return nil
}

// closeJob parks or withdraws a job. A withdrawn task that is bound stays so until its end is recorded.
func (s State) closeJob(c Change, at int64) error {
	j, ok := s.jobs[c.JobID]
	if !ok {
		return eris.Wrapf(ErrInvalidChange, "change of kind %q for unknown job %q", c.Kind, c.JobID)
	}
	j.Reason = c.Reason
	j.Parked = j.Parked || c.Kind == ChangePark
	j.Withdrawn = j.Withdrawn || c.Kind == ChangeWithdraw
	s.jobs[c.JobID] = j
	for _, id := range j.Job.TaskIDs() {
		t := s.tasks[id]
		if t.Phase.IsEnd() {
			continue
		}
		if c.Kind == ChangeWithdraw && t.Worker == "" {
			t.Phase = PhaseCancelled
			s.countTaskEnd(t.Job, at)
		} else if c.Kind == ChangePark {
			t.Phase = PhaseParked
		}
		t.Reason = c.Reason
		s.tasks[id] = t
	}
	return nil
}

// countTaskEnd counts a task that ended at the given time, which may end its job.
func (s State) countTaskEnd(job string, at int64) {
	j := s.jobs[job]
	j.Open--
	if j.Open == 0 {
		j.EndedAt = at
	}
	s.jobs[job] = j
}

// deleteExpiredJobs removes jobs whose retention time has passed.
func (s State) deleteExpiredJobs(at int64) {
	for id, j := range s.jobs {
		if j.EndedAt != 0 && at-j.EndedAt > JobRetention.Milliseconds() {
			for _, task := range j.Job.TaskIDs() {
				delete(s.tasks, task)
			}
			delete(s.jobs, id)
		}
	}
}

func sortedValues[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[key])
	}
	return out
}
