package measure

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/examples"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

const (
	// runTimeDivisor shortens the run times and checkpoint intervals of batch tasks, so that many tasks end within a run
	// of some minutes.
	runTimeDivisor = 60
	// intraZoneDelay is the one-way network delay within a zone. It is assumed, since the users state only the delays to
	// callers and between zones.
	intraZoneDelay = 250 * time.Microsecond
	// lossRate is the fraction of attempts that are lost. It is assumed, since the users state that links drop packets but
	// not how many.
	lossRate = 0.001
	// serviceTimeFraction is the mean service time of a request as a fraction of the latency target. It is assumed.
	serviceTimeFraction = 1.0 / 3
	// callerTimeout is the time from the arrival of a request to its deadline.
	callerTimeout = time.Second
)

// Batch works that the simulation adds to those of the user: archive has the lowest priority, forecast is the noisy one
// in the interference scenario, and recall is urgent.
const (
	archive  = "archive"
	forecast = "forecast"
	recall   = "recall"
)

// user describes the workers and the work of one of the two users, as far as a simulation needs them.
type user struct {
	batch          []note.Work
	callerDelay    time.Duration
	replicated     []note.Work // services and feeds
	services       []note.Work
	workerCapacity fleet.Resources
	workerCount    int
	workersPerRack int
}

func userByName(name string) (user, error) {
	var u user
	var text []byte
	switch name {
	case "kelaniya":
		text = examples.KelaniyaNote
		u = user{
			callerDelay: 3 * time.Millisecond, workerCount: 12, workersPerRack: 6,
			workerCapacity: fleet.Resources{Connections: 64, CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8},
		}
	case "retablo":
		text = examples.RetabloNote
		u = user{
			callerDelay: time.Millisecond, workerCount: 16, workersPerRack: 8,
			workerCapacity: fleet.Resources{Connections: 64, CPUMilli: 16_000, MemoryMiB: 62_000, Slots: 8},
		}
	default:
		return user{}, eris.Wrapf(ErrUnknown, "user %q (kelaniya or retablo)", name)
	}
	n, err := note.Parse(text)
	if err != nil {
		return user{}, eris.Wrap(err, "note of "+name)
	}
	for _, w := range n.Added {
		switch w.Kind {
		case note.KindService:
			u.services = append(u.services, w)
			u.replicated = append(u.replicated, w)
		case note.KindFeed:
			u.replicated = append(u.replicated, w)
		case note.KindBatch:
			w.RunTime.Duration /= runTimeDivisor
			u.batch = append(u.batch, w)
		}
	}
	u.batch = append(u.batch,
		extraBatchWork(archive, 0, 2000, time.Minute), extraBatchWork(forecast, 4, 4000, 30*time.Second), extraBatchWork(recall, 9, 2000, 20*time.Second))
	return u, nil
}

// extraBatchWork returns a batch work whose run time is not divided by runTimeDivisor.
func extraBatchWork(name string, priority int, milli int64, runTime time.Duration) note.Work {
	return note.Work{
		Kind: note.KindBatch, Name: name, Priority: priority, RunTime: note.Duration{Duration: runTime}, Team: name,
		Resources: fleet.Resources{CPUMilli: milli, MemoryMiB: 2 * milli},
	}
}
