package placement

import "github.com/rotisserie/eris"

// Errors that Place returns.
var (
	// ErrNeverFits says that the task is larger than every worker.
	ErrNeverFits = eris.New("task is larger than every worker")
	// ErrNoRoom says that the task waits for room.
	ErrNoRoom = eris.New("no worker has room")
	// ErrQuota says that the task waits because its team has reached its quota.
	ErrQuota = eris.New("team quota is reached")
)

// Bounds of the options that a decision lists, to keep the ring of decisions small.
const (
	maxRejections = 4
	maxScored     = 4
)

// Rejection is the filter that excluded a worker.
type Rejection string

// Rejections in the order in which the filters apply.
const (
	RejectedZone        Rejection = "other_zone"
	RejectedBound       Rejection = "bound_elsewhere"
	RejectedSize        Rejection = "too_small"
	RejectedLeaving     Rejection = "leaving"
	RejectedQuarantine  Rejection = "quarantined"
	RejectedFailedThere Rejection = "failed_there"
	RejectedClosed      Rejection = "closed_to_batch"
	RejectedQuota       Rejection = "quota"
	RejectedCapacity    Rejection = "capacity"
	// RejectedSlowdown says that the task would slow the services there down more than on another worker.
	RejectedSlowdown Rejection = "slows_services"
)

// Reason says why a decision came out as it did.
type Reason string

// Reasons of decisions.
const (
	ReasonBestScore   Reason = "best_score"
	ReasonEviction    Reason = "eviction"
	ReasonFirstFit    Reason = "first_fit"
	ReasonLeastLoaded Reason = "least_loaded"
	ReasonNeverFits   Reason = "never_fits"
	ReasonNoRoom      Reason = "no_room"
	ReasonNoBudget    Reason = "no_room_and_eviction_budget_spent"
	ReasonQuota       Reason = "quota"
)

// Option is a worker that was considered: with its score, or with the filter that rejected it.
type Option struct {
	// Count is the number of workers that the same filter rejected; Worker is the first of them.
	Count     int       `json:"count,omitempty"`
	Rejection Rejection `json:"rejection,omitempty"`
	Score     Score     `json:"score,omitzero"`
	Worker    string    `json:"worker"`
}

// Decision is the outcome of placing a task.
type Decision struct {
	// Options lists the best workers by score and one worker for each filter that rejected any.
	Options []Option `json:"options,omitempty"`
	Reason  Reason   `json:"reason"`
	Task    string   `json:"task"`
	// Victims are the tasks of Worker that must end before the task can start there.
	Victims []string `json:"victims,omitempty"`
	// Worker is empty if the task waits.
	Worker string `json:"worker,omitempty"`
}

// options collects a bounded number of options during one pass over the workers.
type options struct {
	rejected  [maxRejections]Option
	rejectedN int
	scored    [maxScored]Option
	scoredN   int
}

func (o *options) add(w *Worker, s Score) {
	i := o.scoredN
	if i == maxScored {
		if o.scored[i-1].Score.Total <= s.Total {
			return
		}
		i--
	} else {
		o.scoredN++
	}
	for ; i > 0 && o.scored[i-1].Score.Total > s.Total; i-- {
		o.scored[i] = o.scored[i-1]
	}
	o.scored[i] = Option{Score: s, Worker: w.ID}
}

func (o *options) list() []Option {
	out := make([]Option, 0, o.scoredN+o.rejectedN)
	out = append(out, o.scored[:o.scoredN]...)
	return append(out, o.rejected[:o.rejectedN]...)
}

func (o *options) reject(w *Worker, why Rejection) {
	for i := range o.rejectedN {
		if o.rejected[i].Rejection == why {
			o.rejected[i].Count++
			return
		}
	}
	if o.rejectedN < maxRejections {
		o.rejected[o.rejectedN] = Option{Count: 1, Rejection: why, Worker: w.ID}
		o.rejectedN++
	}
}
