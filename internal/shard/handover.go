package shard

// BeginHandover prepares the handover of the shard to another owner. From then on no starts are planned and no commit begins, so
// that the handover does not wait for changes that never cease. The next owner learns of unrecorded ones from the workers, as after
// a crash. A handover that has begun does not end: this owner never plans again.
func (o *Owner) BeginHandover() { o.isHandingOver = true }

// IsCommitting reports whether a commit is unanswered.
func (o *Owner) IsCommitting() bool { return o.committing != nil }
