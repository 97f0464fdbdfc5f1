package placement

import "github.com/rotisserie/eris"

// Errors that Place returns.
var (
	// ErrNeverFits means that the task exceeds the total capacity of every worker.
	ErrNeverFits = eris.New("task is larger than every worker")
	// ErrNoRoom means that no worker can take the task at present; the task waits.
	ErrNoRoom = eris.New("no worker has room")
	// ErrQuota means that the task would exceed its team's quota; the task waits.
	ErrQuota = eris.New("team quota is reached")
)

// Limits of the candidates that a Decision lists. They bound the memory of the ring buffer of recent decisions.
const (
	maxRejections = 4
	maxScored     = 4
)

// Rejection is the reason for which a filter excluded a worker.
type Rejection string

// Reasons for which a worker is excluded.
const (
	RejectedZone           Rejection = "other_zone"
	RejectedBoundElsewhere Rejection = "bound_elsewhere"
	RejectedTooSmall       Rejection = "too_small"
	RejectedLeaving        Rejection = "leaving"
	RejectedQuarantine     Rejection = "quarantined"
	RejectedFailedThere    Rejection = "failed_there"
	RejectedClosedToBatch  Rejection = "closed_to_batch"
	RejectedQuota          Rejection = "quota"
	RejectedCapacity       Rejection = "capacity"
	// RejectedSlowdown means that the task would slow the services there down by more than the limit, while
	// another worker stays within it.
	RejectedSlowdown Rejection = "slows_services"
)

// Reason is the reason for a Decision.
type Reason string

// Reasons for decisions.
const (
	ReasonBestScore        Reason = "best_score"
	ReasonEviction         Reason = "eviction"
	ReasonFirstFit         Reason = "first_fit"
	ReasonLeastLoaded      Reason = "least_loaded"
	ReasonNeverFits        Reason = "never_fits"
	ReasonNoRoom           Reason = "no_room"
	ReasonNoEvictionBudget Reason = "no_room_and_eviction_budget_spent"
	ReasonQuota            Reason = "quota"
)

// Candidate is a worker that was considered. It has either a score or the reason for its rejection.
type Candidate struct {
	// RejectedCount is the number of workers that were rejected for the same reason; Worker is the first of them.
	RejectedCount int       `json:"count,omitempty"`
	Rejection     Rejection `json:"rejection,omitempty"`
	Score         Score     `json:"score,omitzero"`
	Worker        string    `json:"worker"`
}

// Decision is the result of placing a task.
type Decision struct {
	// Candidates lists the workers with the best scores, then one worker for each reason of rejection.
	Candidates []Candidate `json:"options,omitempty"`
	Reason     Reason      `json:"reason"`
	Task       string      `json:"task"`
	// Victims are the ids of the tasks that must be evicted from Worker before the task can start there.
	Victims []string `json:"victims,omitempty"`
	// Worker is the chosen worker, or empty if the task waits.
	Worker string `json:"worker,omitempty"`
}

// candidateList collects a bounded number of candidates, the scored ones ordered by score.
type candidateList struct {
	rejected      [maxRejections]Candidate
	rejectedCount int
	scored        [maxScored]Candidate
	scoredCount   int
}

func (l *candidateList) addScored(w *Worker, s Score) {
	i := l.scoredCount
	if i == maxScored {
		if l.scored[i-1].Score.Total <= s.Total {
			return
		}
		i--
	} else {
		l.scoredCount++
	}
	for ; i > 0 && l.scored[i-1].Score.Total > s.Total; i-- {
		l.scored[i] = l.scored[i-1]
	}
	l.scored[i] = Candidate{Score: s, Worker: w.ID}
}

func (l *candidateList) list() []Candidate {
	out := make([]Candidate, 0, l.scoredCount+l.rejectedCount)
	out = append(out, l.scored[:l.scoredCount]...)
	return append(out, l.rejected[:l.rejectedCount]...)
}

func (l *candidateList) addRejected(w *Worker, why Rejection) {
	for i := range l.rejectedCount {
		if l.rejected[i].Rejection == why {
			l.rejected[i].RejectedCount++
			return
		}
	}
	if l.rejectedCount < maxRejections {
		l.rejected[l.rejectedCount] = Candidate{RejectedCount: 1, Rejection: why, Worker: w.ID}
		l.rejectedCount++
	}
}
