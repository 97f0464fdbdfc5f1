package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// workerView is what the owner knows about one worker.
type workerView struct {
	// acks are the ends to acknowledge with the next heartbeat.
	acks           []AttemptRef
	absentSince    time.Time
	bootID         string
	supportsEpochs bool
	capacity       fleet.Resources
	id             string
	lastContact    time.Time
	lastResponse   time.Time
	lastSeq        int64
	leaving        bool
	listed         bool
	// oldBoots are the worker's earlier boot ids. Late reports with one of them are ignored.
	oldBoots map[string]bool
	// orphans are attempts that run on the worker but must not by the ledger, with the time of the last stop
	// request.
	orphans map[AttemptRef]time.Time
	// sentBeforeResponse is the sequence number of the last contact that was sent before lastResponse.
	sentBeforeResponse int64
	token              string
	// trusted is set if the worker's reports list all of its attempts and no earlier owner can start others.
	trusted bool
}

// mayStart reports whether a task may be started on the worker now, leaving its capacity aside.
func (v *workerView) mayStart(now time.Time, t Timing) bool {
	return v.trusted && v.listed && !v.leaving && len(v.orphans) == 0 && v.hasToken(now, t)
}

func (v *workerView) hasToken(now time.Time, t Timing) bool {
	return v.token != "" && now.Sub(v.lastResponse) < t.Lease
}

func sortedAttempts(m map[AttemptRef]time.Time) []AttemptRef {
	return slices.SortedFunc(maps.Keys(m), func(a, b AttemptRef) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}
