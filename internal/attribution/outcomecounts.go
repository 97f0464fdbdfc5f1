package attribution

// outcomeCounts holds the number of recent outcomes of a work on a worker.
type outcomeCounts struct{ failed, succeeded float64 }

// with returns the counts with one more outcome. They are halved at maxWorkOutcomes, so that old outcomes lose weight.
func (c outcomeCounts) with(r Result) outcomeCounts {
	if c.failed+c.succeeded >= maxWorkOutcomes {
		c.failed, c.succeeded = c.failed/2, c.succeeded/2
	}
	if r == ResultFailed {
		c.failed++
	} else {
		c.succeeded++
	}
	return c
}
