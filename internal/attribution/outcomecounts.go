package attribution

// tally counts recent outcomes of a work on a worker.
type tally struct{ failed, succeeded float64 }

// plus returns the tally with one more outcome. Halving at the bound makes old outcomes fade.
func (t tally) plus(r Result) tally {
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
