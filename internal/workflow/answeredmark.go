package workflow

import "slices"

// AnsweredMark is the record of a shard that says of which progress records each start on record has a response.
type AnsweredMark struct {
	// Epoch is the revision of the shard's epoch key under which the owner acted that wrote the mark.
	Epoch int64 `cbor:"1,keyasint"`
	// Except holds the jobs whose records the mark does not cover, in order.
	Except []string `cbor:"2,keyasint,omitempty"`
	// Through is the revision of the store up to which progress records are covered.
	Through int64 `cbor:"3,keyasint"`
}

// Covers reports whether all starts in the progress record of a job, which is at a revision, have responses.
func (m AnsweredMark) Covers(job string, revision int64) bool {
	_, isExcept := slices.BinarySearch(m.Except, job)
	return revision <= m.Through && !isExcept
}

// WithAnswered returns the progress with all of its attempts among the answered starts.
func (p Progress) WithAnswered() Progress {
	p.Answered = nil
	for _, t := range p.Tasks {
		for _, a := range t.Attempts {
			p.Answered = append(p.Answered, AnsweredStart{Key: t.Key, Run: a.Run, Worker: a.Worker})
		}
	}
	return p
}
