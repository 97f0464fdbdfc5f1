package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
)

// view is what the owner knows of one worker.
type view struct {
	acks         []TaskEnd
	absentSince  time.Time
	bootID       string
	capable      bool
	capacity     fleet.Resources
	id           string
	lastContact  time.Time
	lastResponse time.Time
	lastSeq      int64
	leaving      bool
	listed       bool
	// strays are attempts that run on the worker against the ledger, with the time of the last stop.
	// oldBoots are boot ids that were seen before the present one; their reports arrive late.
	oldBoots map[string]bool
	strays   map[TaskEnd]time.Time
	token    string
	// trusted says that the report is complete and that no earlier owner can change it.
	trusted bool
}

// mayStart reports whether the worker can take a start now, apart from capacity.
func (v *view) mayStart(now time.Time, t Timing) bool {
	return v.trusted && v.listed && !v.leaving && len(v.strays) == 0 && v.hasToken(now, t)
}

func (v *view) hasToken(now time.Time, t Timing) bool {
	return v.token != "" && now.Sub(v.lastResponse) < t.Lease
}

func sortedEnds(m map[TaskEnd]time.Time) []TaskEnd {
	return slices.SortedFunc(maps.Keys(m), func(a, b TaskEnd) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}
