package forecast

import (
	"fmt"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// maxViewAge is how old a view may be that a refusal rests on. Owners change their order four times a second, and at 2.6 times the usual
// load a backlog grows by 1.6 s of work within a second.
const maxViewAge = time.Second

// Alternative is a shard that a job may go to, with what its owner reported last.
type Alternative struct {
	Age   time.Duration
	Shard int
	// View is nil if the owner did not answer, or did not report one.
	View *View
}

// Reason says why a submission is accepted or refused.
type Reason string

// Reasons of decisions.
const (
	// ReasonNoObjective: the job is long-running, recurring or timed, and has no objective at its submission.
	ReasonNoObjective Reason = "no objective at submission"
	// ReasonNoView: an owner did not answer or reported no view, or only an old one.
	ReasonNoView Reason = "no recent view"
	// ReasonNotLearned: an owner has not learned enough.
	ReasonNotLearned Reason = "durations not learned"
	// ReasonServable: the job may be of use.
	ReasonServable Reason = "may end before its late limit"
	// ReasonHopeless: the job would end after its late limit in each shard.
	ReasonHopeless Reason = "would end after its late limit"
)

// Decision is whether a submission is refused.
type Decision struct {
	// Considered describes the alternatives, for the log.
	Considered []string
	IsRefused  bool
	Reason     Reason
	// Delay is when the job could be served in time, by the forecast: when the backlog has shrunk enough. After the time of an objective,
	// all jobs that are ahead now have started or are late themselves, and no longer go before a new one. Slot is how often a shard has room for such a job.
	Delay, Slot time.Duration
}

// Decide decides on a job that would go to one of some shards. It refuses only what is known to be hopeless in each of them: the job would
// earn nothing and take room from others. What is not known counts in favour of the job.
func Decide(j workflow.Job, q workflow.QueueSettings, alternatives []Alternative) Decision {
	if j.IsLongRunning() || j.Occurrences != 0 {
		return Decision{Reason: ReasonNoObjective}
	}
	d := Decision{Reason: ReasonHopeless}
	if len(alternatives) == 0 {
		d.Reason = ReasonNoView
	}
	for i, a := range alternatives {
		if a.View == nil || a.Age > maxViewAge {
			d.Considered = append(d.Considered, fmt.Sprintf("%d: no view", a.Shard))
			d.Reason = ReasonNoView
			continue
		}
		f := a.View.Of(j, q)
		d.Considered = append(d.Considered, fmt.Sprintf("%d: end %s, earliest %s, objective %s, learned %t, age %s", a.Shard, rounded(f.End),
			rounded(f.Earliest), rounded(f.Objective), f.IsLearned, rounded(a.Age)))
		switch {
		case !f.IsLearned && d.Reason == ReasonHopeless:
			d.Reason = ReasonNotLearned
		case f.IsLearned && !f.IsHopeless() && d.Reason != ReasonNoView:
			d.Reason = ReasonServable
		}
		if delay := min(f.End-f.Objective, f.Objective); i == 0 || delay < d.Delay {
			d.Delay, d.Slot = delay, f.Slot
		}
	}
	d.IsRefused = d.Reason == ReasonHopeless
	return d
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
