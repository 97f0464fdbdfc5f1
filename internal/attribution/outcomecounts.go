package attribution

// outcomeCounts holds the number of recent outcomes of a work on a worker.
type outcomeCounts struct{ failed, succeeded float64 }

// with returns the counts with one more outcome. They are halved at maxWorkOutcomes, so that old outcomes lose weight.
func (t outcomeCounts) with(r Result) outcomeCounts {
	if t.failed+t.succeeded >= maxWorkOutcomes {
		t.failed, t.succeeded = t.failed/2, t.succeeded/2
	}
	if r == ResultFailed {
		t.failed++
	} else {
		t.succeeded++
	}
	return t
}
