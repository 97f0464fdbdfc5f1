package workflow

// SharedJob is the record of a job whose tasks are held by several shards. Its keys differ from those of Job, so that owners of older
// builds find no valid job in it.
type SharedJob struct {
	// Cancelled is set in a guest's record once the job is cancelled.
	Cancelled bool `cbor:"21,keyasint,omitempty"`
	// Home is the shard that accepted the job. The record belongs to a guest if it is in another shard.
	Home int `cbor:"22,keyasint"`
	// Job is empty in the store if tasks of the job end.
	Job Job `cbor:"23,keyasint"`
	// EndingJob holds a job in the store whose tasks end. Owners of builds that share only jobs whose tasks last, and would start done tasks
	// again, find no valid job.
	EndingJob *Job `cbor:"25,keyasint,omitempty"`
	// Tasks holds the tasks that a guest is to hold; it is empty in the home's record.
	Tasks []HeldTask `cbor:"24,keyasint,omitempty"`
}

// NoHop is the hop of a task in the list of a guest that still holds it and says that it must not run again.
const NoHop = 0

// HeldTask is a task at one of its hops, with the state in which it moved.
type HeldTask struct {
	_ struct{} `cbor:",toarray"`
	// Hop counts the transfers of the task away from the home; it may be NoHop.
	Hop int
	// Record has the failed runs that are known as its attempts, since a task that moves has no open ones. It is done in the list of a guest
	// that has completed the task.
	Record TaskRecord
}

// Transfer says where a task is at its latest hop, as far as the shard knows that recorded it.
type Transfer struct {
	_   struct{} `cbor:",toarray"`
	Hop int
	Key TaskKey
	// Shard is the shard that holds the task; NoShard stands for the one that recorded the transfer.
	Shard int
}

// EncodeSharedJob returns the record of a shared job.
func EncodeSharedJob(s SharedJob) []byte {
	if j := s.Job; !j.Lasts() {
		s.Job, s.EndingJob = Job{}, &j
	}
	return Encode(s)
}

// DecodeSharedJob returns the shared job in a record; ok is false if the record is that of another job.
func DecodeSharedJob(data []byte) (s SharedJob, ok bool) {
	s, err := Decode[SharedJob](data)
	if s.EndingJob != nil {
		s.Job, s.EndingJob = *s.EndingJob, nil
	}
	return s, err == nil && s.Job.ID != ""
}
