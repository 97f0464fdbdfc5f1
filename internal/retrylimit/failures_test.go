package retrylimit_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumridge/laburnumridge/internal/retrylimit"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against failed runs that count twice or are lost when two owners learn of them in any order.
func TestMergedFailuresCountEachRunOnce(t *testing.T) {
	run := rapid.Custom(func(t *rapid.T) workflow.Attempt {
		return workflow.Attempt{Born: rapid.Int64Range(1, 2).Draw(t, "born"), Run: rapid.IntRange(1, 2).Draw(t, "run"), Worker: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "worker")}
	})
	rapid.Check(t, func(t *rapid.T) {
		failed := map[workflow.Attempt]bool{}
		owners := []retrylimit.Failures{{}, {}}
		for _, r := range rapid.SliceOfN(run, 0, 12).Draw(t, "runs") {
			i := rapid.IntRange(0, 1).Draw(t, "owner")
			before := owners[i].Count()
			owners[i], _ = owners[i].WithListedRun(r)
			assert.Assert(t, owners[i].Count() >= before)
			failed[r] = true
		}
		merged := owners[0].Merge(owners[1])
		assert.Equal(t, merged.Count(), len(failed))
		assert.Assert(t, merged.Equal(owners[1].Merge(owners[0])))
		assert.Assert(t, merged.Equal(merged.Merge(owners[0])))
	})
}

// Guards against failed runs that an owner of an earlier build has counted, and that count again because they are listed again.
func TestRunRecordedByNumberDoesNotCountAgain(t *testing.T) {
	first, second := workflow.Attempt{Run: 1, Worker: "a"}, workflow.Attempt{Run: 2, Worker: "b"}
	f, isNew := retrylimit.NewFailures(1).WithListedRun(first)
	assert.Equal(t, isNew, false)
	assert.Equal(t, f.Count(), 1)
	f, isNew = f.WithListedRun(second)
	assert.Equal(t, isNew, true)
	assert.Equal(t, f.Count(), 2)
	assert.Equal(t, f.Merge(retrylimit.NewFailures(1, second)).Count(), 2)
	assert.Equal(t, retrylimit.NewFailures(1).WithRun(second).Count(), 2)
}

// Guards against records that grow with each failed run of a task without a limit, and against numbers that fall with the runs that are
// dropped.
func TestFailuresKeepNumberOfDroppedRuns(t *testing.T) {
	var f retrylimit.Failures
	for run := range 100 {
		f = f.WithRun(workflow.Attempt{Run: run, Worker: "a"})
	}
	assert.Equal(t, f.Count(), 100)
	assert.Assert(t, len(f.Runs()) < 20)
	assert.Equal(t, f.Merge(retrylimit.NewFailures(3)).Count(), 100)
}
