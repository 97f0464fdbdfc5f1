package shard

// unrecordedEnd is an end that a worker has listed, and the version of its job that takes the end into account.
type unrecordedEnd struct {
	job     *job
	number  int64
	version int
}

// isRecorded reports whether the store has the job in the version or a later one.
func (j *job) isRecorded(version int) bool { return j.finalRecorded || version <= j.recordedVersion }

// trackEnd adds a listed end that has been handled. Ends whose job is unknown or not changed since its last record wait for no
// record.
func (w *worker) trackEnd(number int64, j *job) {
	w.lastEnd = number
	if j != nil && !j.isRecorded(j.version) {
		w.unrecordedEnds = append(w.unrecordedEnds, unrecordedEnd{job: j, number: number, version: j.version})
	}
}

// advanceRecordedEnd moves recordedEnd up to the first end that is not recorded.
func (w *worker) advanceRecordedEnd() {
	n := 0
	for n < len(w.unrecordedEnds) && w.unrecordedEnds[n].job.isRecorded(w.unrecordedEnds[n].version) {
		n++
	}
	clear(w.unrecordedEnds[:n])
	w.unrecordedEnds = w.unrecordedEnds[n:]
	w.recordedEnd = w.lastEnd
	if len(w.unrecordedEnds) > 0 {
		w.recordedEnd = w.unrecordedEnds[0].number - 1
	}
}
