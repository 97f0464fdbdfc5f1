package fake

import (
	"time"

	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// Reasons for which an attempt ends or does not start on a fake worker, in addition to those of package worker.
const (
	ReasonExitStatus  = "exit_status"  // the task itself failed
	ReasonNotStarted  = "not_started"  // stopped before its start request arrived
	ReasonWorkerFault = "worker_fault" // the worker fails everything, or crashed
)

// failureDelay is the time after which a task fails on a worker that SetFailing makes fail.
const failureDelay = 100 * time.Millisecond

// Profile is the actual behaviour of a task, which may differ from the resources and run time that its start request
// declares.
type Profile struct {
	// CheckpointInterval is the run time at full speed between two checkpoints. If it is zero, checkpoints are written
	// only on request.
	CheckpointInterval time.Duration
	CPUMilli           int64
	// FailAfter is the progress at which every attempt fails; zero means never.
	FailAfter time.Duration
	MemoryMiB int64
	// RunTime is the run time of a batch task at full speed.
	RunTime time.Duration
}

// DeclaredProfile returns the behaviour that the start request declares, with a checkpoint every 10 s.
func DeclaredProfile(in worker.StartRequest) Profile {
	return Profile{
		CheckpointInterval: 10 * time.Second,
		CPUMilli:           in.Resources.CPUMilli,
		MemoryMiB:          in.Resources.MemoryMiB,
		RunTime:            in.RunTime.Duration,
	}
}

// task is an attempt on the worker. Times are by the worker's clock; progress and checkpoint are run time at full speed.
type task struct {
	worker.StartRequest
	// advancedTo is the time up to which progress has been computed.
	advancedTo time.Time
	// changeStamp is the stamp of the last change of phase or checkpoint.
	changeStamp int64
	checkpoint  time.Duration
	// failsAt is when the attempt fails because of SetFailing, else zero.
	failsAt          time.Time
	throttleFraction float64 // 1 at full speed
	leaseEnd         time.Time
	phase            worker.Phase
	profile          Profile
	progress         time.Duration
	reason           string
	// runIndex is the index of the attempt in the journal.
	runIndex int
}

func (t *task) answersRequests() bool {
	return t.Kind == note.KindService || t.Kind == note.KindFeed
}

// addProgress advances the attempt to the given time, and reports whether a checkpoint was written.
func (t *task) addProgress(to time.Time) bool {
	t.progress += time.Duration(float64(to.Sub(t.advancedTo)) * t.throttleFraction)
	t.advancedTo = to
	if t.profile.CheckpointInterval == 0 || t.Kind != note.KindBatch {
		return false
	}
	due := t.progress.Truncate(t.profile.CheckpointInterval)
	if due <= t.checkpoint {
		return false
	}
	t.checkpoint = due
	return true
}

// expectedEnd returns when, in which phase and for which reason the attempt ends if it receives no further call.
func (t *task) expectedEnd() (time.Time, worker.Phase, string) {
	at, phase, reason := t.leaseEnd, worker.PhaseEvicted, worker.ReasonLeaseExpired
	timeOf := func(target time.Duration) time.Time {
		return t.advancedTo.Add(max(0, time.Duration(float64(target-t.progress)/t.throttleFraction)))
	}
	if t.Kind == note.KindBatch {
		if done := timeOf(t.profile.RunTime); !done.After(at) {
			at, phase, reason = done, worker.PhaseDone, ""
		}
	}
	if t.profile.FailAfter > 0 {
		if failed := timeOf(t.profile.FailAfter); !failed.After(at) {
			at, phase, reason = failed, worker.PhaseFailed, ReasonExitStatus
		}
	}
	if !t.failsAt.IsZero() && !t.failsAt.After(at) {
		at, phase, reason = t.failsAt, worker.PhaseFailed, ReasonWorkerFault
	}
	return at, phase, reason
}

func (t *task) toWire() worker.Task {
	return worker.Task{
		AttemptRef: t.AttemptRef, Checkpoint: t.checkpoint.Milliseconds(), Phase: t.phase, Reason: t.reason, Work: t.Work,
	}
}
