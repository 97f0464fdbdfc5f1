package workflow

// DoneTasks lists the tasks of an occurrence that are done and have no record of their own.
type DoneTasks struct {
	_ struct{} `cbor:",toarray"`
	// Bits has a bit for each task, by step and index, the lowest bit of a byte first. Zero bytes at the end are left out.
	Bits       []byte
	Occurrence int
}

// NewDoneTasks returns the list of an occurrence's tasks that are marked.
func NewDoneTasks(occurrence int, marked []bool) DoneTasks {
	d := DoneTasks{Occurrence: occurrence}
	for i, isMarked := range marked {
		if !isMarked {
			continue
		}
		for len(d.Bits) <= i/8 {
			d.Bits = append(d.Bits, 0)
		}
		d.Bits[i/8] |= 1 << (i % 8)
	}
	return d
}

// Has reports whether the list has the task at a position, counted over all steps.
func (d DoneTasks) Has(position int) bool {
	return position/8 < len(d.Bits) && d.Bits[position/8]&(1<<(position%8)) != 0
}

// CompactJob is the record of a job whose progress lists done tasks as DoneTasks. Its key differs from those of Job and SharedJob, so that
// owners of older builds, which would start the done tasks again, find no valid job in it.
type CompactJob struct {
	Job Job `cbor:"31,keyasint"`
}

// DecodeCompactJob returns the job in a compact record; ok is false if the record is another one.
func DecodeCompactJob(data []byte) (j Job, ok bool) {
	c, err := Decode[CompactJob](data)
	return c.Job, err == nil && c.Job.ID != ""
}
