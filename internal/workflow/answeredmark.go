package workflow

import "slices"

// AnsweredMark is the record of a shard that says of which progress records each start on record has a response.
type AnsweredMark struct {
	// Epoch is the revision of the shard's epoch key under which the owner acted that wrote the mark.
	Epoch int64 `cbor:"1,keyasint"`
	// Except holds the jobs whose records the mark does not cover, in order.
	Except []string `cbor:"2,keyasint,omitempty"`
	// Open holds the runs of other jobs that have a start without a response, or one of which that is not known.
	Open []OpenStart `cbor:"4,keyasint,omitempty"`
	// Through is the revision of the store up to which progress records are covered.
	Through int64 `cbor:"3,keyasint"`
}

// OpenStart is a run with a start on record that may still be carried out.
type OpenStart struct {
	_      struct{} `cbor:",toarray"`
	Job    string
	Key    TaskKey
	Run    int
	Worker string
}

// Size returns the number of jobs and runs that the mark names.
func (m AnsweredMark) Size() int { return len(m.Except) + len(m.Open) }

// Covers reports whether the mark tells of the starts in the progress record of a job, which is at a revision.
func (m AnsweredMark) Covers(job string, revision int64) bool {
	_, isExcept := slices.BinarySearch(m.Except, job)
	return revision <= m.Through && !isExcept
}

// WithAnswers returns the progress of a job with all of its runs among the answered starts, but for those that a mark which covers it names.
func (p Progress) WithAnswers(job string, m AnsweredMark) Progress {
	p.Answered = nil
	for _, t := range p.Tasks {
		for _, a := range t.Attempts {
			if !slices.Contains(m.Open, OpenStart{Job: job, Key: t.Key, Run: a.Run, Worker: a.Worker}) {
				p.Answered = append(p.Answered, AnsweredStart{Key: t.Key, Run: a.Run, Worker: a.Worker})
			}
		}
	}
	return p
}
