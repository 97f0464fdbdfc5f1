package admission

import "time"

const (
	estimateWeight = 0.1
	// initialService is assumed until the first request of a kind has ended.
	initialService = 10 * time.Millisecond
	// tailDeviations is the number of mean deviations above the mean that a request is given to
	// run. With the mean alone, the queue stays just below the deadline and many requests end after
	// it: the flooding kind got 0.86 of the slots left for it in place of 0.97.
	tailDeviations = 3
)

// estimate is a moving mean of service times and of their deviation.
type estimate struct {
	deviation time.Duration
	mean      time.Duration
}

func (e *estimate) add(d time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = max(d, 1), d/4
		return
	}
	off := d - e.mean
	e.mean = max(1, e.mean+time.Duration(estimateWeight*float64(off)))
	e.deviation += time.Duration(estimateWeight * float64(off.Abs()-e.deviation))
}

func (e *estimate) service() time.Duration {
	if e.mean == 0 {
		return initialService
	}
	return e.mean
}

// tail is the time that most requests end in.
func (e *estimate) tail() time.Duration { return e.service() + tailDeviations*e.deviation }
