package job

import (
	"fmt"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/note"
)

// Run is one run of a scheduled work.
type Run struct {
	Due time.Time
	ID  string
}

// DueRuns returns the run of a scheduled work that became due after last and not after now. Due times are
// multiples of the period since 1970, so that every host computes the same ones. After an outage only the
// latest missed run is returned, because a burst of late runs would delay current ones. last is the due
// time of the last run, or the time at which the work came into force; if it is zero nothing is due.
func DueRuns(w note.Work, last, now time.Time) []Run {
	every := w.Every.Duration
	if w.Kind != note.KindBatch || every < time.Second || last.IsZero() {
		return nil
	}
	since := now.Sub(time.Unix(0, 0)) % every
	due := now.Add(-since).UTC().Truncate(time.Second)
	if !due.After(last) {
		return nil
	}
	return []Run{{Due: due, ID: RunID(w.Name, due)}}
}

// RunID returns the id of the run of a work that is due at a time, in whole seconds.
func RunID(work string, due time.Time) string {
	return fmt.Sprintf("%s@%s", work, due.UTC().Format(time.RFC3339))
}
