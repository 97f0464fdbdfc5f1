package ledger

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Retention is how long a job stays recorded after its end, so that a repeated job id is recognised.
const Retention = time.Hour

// ErrInvalidChange says that a change does not fit the records before it.
var ErrInvalidChange = eris.New("invalid ledger change")

// State is the immutable result of all log entries up to a point; the zero value is an empty shard.
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

// Apply returns the state after a log entry; errors match ErrInvalidChange.
func (s State) Apply(b Batch) (State, error) {
	next := State{epoch: s.epoch, jobs: maps.Clone(s.jobs), owner: s.owner, tasks: maps.Clone(s.tasks)}
	if next.jobs == nil {
		next.jobs, next.tasks = map[string]JobRecord{}, map[string]Task{}
	}
	for _, c := range b.Changes {
		if err := next.apply(c, b.At); err != nil {
			return s, err
		}
	}
	next.forget(b.At)
	return next, nil
}

// Epoch returns the epoch of the last takeover.
func (s State) Epoch() int64 { return s.epoch }

// Job returns the record of a job.
func (s State) Job(id string) (JobRecord, bool) {
	j, ok := s.jobs[id]
	return j, ok
}

// Jobs returns all recorded jobs, by id.
func (s State) Jobs() []JobRecord { return sortedValues(s.jobs) }

// MarshalJSON writes the state as a snapshot.
func (s State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateJSON{Epoch: s.epoch, Jobs: s.Jobs(), Owner: s.owner, Tasks: s.Tasks()})
}

// Owner returns the host of the last takeover.
func (s State) Owner() string { return s.owner }

// Task returns the record of a task.
func (s State) Task(id string) (Task, bool) {
	t, ok := s.tasks[id]
	return t, ok
}

// Tasks returns all recorded tasks, by id.
func (s State) Tasks() []Task { return sortedValues(s.tasks) }

// UnmarshalJSON reads a snapshot.
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

func (s State) accept(j Job) error {
	if _, ok := s.jobs[j.ID]; ok {
		return eris.Wrapf(ErrInvalidChange, "job %s is already recorded", j.ID)
	}
	s.jobs[j.ID] = JobRecord{Job: j, Open: j.Tasks}
	for _, id := range j.TaskIDs() {
		s.tasks[id] = Task{ID: id, Job: j.ID, Phase: PhaseQueued}
	}
	return nil
}

func (s *State) apply(c Change, at int64) error {
	switch c.Kind {
	case ChangeAccept:
		if c.Job == nil {
			return eris.Wrap(ErrInvalidChange, "accept without a job")
		}
		return s.accept(*c.Job)
	case ChangePark, ChangeWithdraw:
		return s.closeJob(c, at)
	case ChangeTakeOver:
		if c.Epoch <= s.epoch {
			return eris.Wrapf(ErrInvalidChange, "takeover with epoch %d after %d", c.Epoch, s.epoch)
		}
		s.epoch, s.owner = c.Epoch, c.Owner
		return nil
	}
	t, ok := s.tasks[c.Task]
	if !ok {
		return eris.Wrapf(ErrInvalidChange, "change %s of unknown task %q", c.Kind, c.Task)
	}
	if t.Phase.IsEnd() {
		return eris.Wrapf(ErrInvalidChange, "change %s of task %s, which is %s", c.Kind, t.ID, t.Phase)
	}
	switch c.Kind {
	case ChangeBind:
		if t.Phase == PhaseParked {
			return eris.Wrapf(ErrInvalidChange, "bind of parked task %s", t.ID)
		}
		t.Attempt, t.NoEpochs, t.Phase, t.Worker = c.Attempt, c.NoEpochs, PhaseBound, c.Worker
		t.Checkpoint = max(t.Checkpoint, c.Checkpoint)
	case ChangeCheckpoint:
		t.Checkpoint = max(t.Checkpoint, c.Checkpoint)
	case ChangeEnd:
		if !c.Phase.IsEnd() {
			return eris.Wrapf(ErrInvalidChange, "end of task %s as %s", t.ID, c.Phase)
		}
		t.Attempt, t.Phase, t.Reason = c.Attempt, c.Phase, c.Reason
		s.countEnd(t.Job, at)
	default:
		return eris.Wrapf(ErrInvalidChange, "unknown kind %q", c.Kind)
	}
	s.tasks[t.ID] = t
	return nil
}

func (s State) closeJob(c Change, at int64) error {
	j, ok := s.jobs[c.JobID]
	if !ok {
		return eris.Wrapf(ErrInvalidChange, "change %s of unknown job %q", c.Kind, c.JobID)
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
			s.countEnd(t.Job, at)
		} else if c.Kind == ChangePark {
			t.Phase = PhaseParked
		}
		t.Reason = c.Reason
		s.tasks[id] = t
	}
	return nil
}

func (s State) countEnd(job string, at int64) {
	j := s.jobs[job]
	j.Open--
	if j.Open == 0 {
		j.EndedAt = at
	}
	s.jobs[job] = j
}

func (s State) forget(at int64) {
	for id, j := range s.jobs {
		if j.EndedAt != 0 && at-j.EndedAt > Retention.Milliseconds() {
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
