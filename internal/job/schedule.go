package job

import (
	"fmt"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/note"
)

// ScheduledRun is one run of a scheduled workload.
type ScheduledRun struct {
	Due time.Time
	ID  string
}

// DueRuns returns the latest run of a scheduled workload that became due after last and not after now, or nil. Due times
// are multiples of the period since the Unix epoch, so that all hosts compute the same ones. After an outage earlier
// missed runs are skipped, because a burst of late runs would delay current ones. last is the due time of the last
// run, or the time at which the workload came into force; if it is zero nothing is due.
func DueRuns(w note.Work, last, now time.Time) []ScheduledRun {
	every := w.Every.Duration
	if w.Kind != note.KindBatch || every < time.Second || last.IsZero() {
		return nil
	}
	elapsed := now.Sub(time.Unix(0, 0)) % every
	due := now.Add(-elapsed).UTC().Truncate(time.Second)
	if !due.After(last) {
		return nil
	}
	return []ScheduledRun{{Due: due, ID: RunID(w.Name, due)}}
}

// RunID returns the id of the run of a workload that is due at the given time, truncated to seconds.
func RunID(work string, due time.Time) string {
	return fmt.Sprintf("%s@%s", work, due.UTC().Format(time.RFC3339))
}
