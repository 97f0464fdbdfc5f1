package measure

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/examples"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

const (
	// batchScale shortens run times of batch tasks, so that minutes of virtual time see many of them.
	batchScale = 60
	// localDelay is one way within a zone; the users state only the delays to callers and between zones.
	localDelay = 250 * time.Microsecond
	// lossRate is the fraction of attempts that are lost; the users state that links drop packets, but
	// not how many.
	lossRate = 0.001
	// serviceTimePart is the mean service time of a request as a part of the latency target.
	serviceTimePart = 1.0 / 3
	// callerTimeout is the deadline of each request.
	callerTimeout = time.Second
)

// Names of the batch works that are added to a user's own.
const (
	archive  = "archive"
	forecast = "forecast"
	recall   = "recall"
)

// user is what a run takes from one of the two users.
type user struct {
	batch          []note.Work
	callerDelay    time.Duration
	replicas       []note.Work // services and feeds
	services       []note.Work
	worker         fleet.Resources
	workers        int
	workersPerRack int
}

func userByName(name string) (user, error) {
	var u user
	var text []byte
	switch name {
	case "kelaniya":
		text = examples.KelaniyaNote
		u = user{
			callerDelay: 3 * time.Millisecond, workers: 12, workersPerRack: 6,
			worker: fleet.Resources{Connections: 64, CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8},
		}
	case "retablo":
		text = examples.RetabloNote
		u = user{
			callerDelay: time.Millisecond, workers: 16, workersPerRack: 8,
			worker: fleet.Resources{Connections: 64, CPUMilli: 16_000, MemoryMiB: 62_000, Slots: 8},
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
			u.replicas = append(u.replicas, w)
		case note.KindFeed:
			u.replicas = append(u.replicas, w)
		case note.KindBatch:
			w.RunTime.Duration /= batchScale
			u.batch = append(u.batch, w)
		}
	}
	u.batch = append(u.batch,
		extra(archive, 0, 2000, time.Minute), extra(forecast, 4, 4000, 30*time.Second), extra(recall, 9, 2000, 20*time.Second))
	return u, nil
}

func extra(name string, priority int, milli int64, runTime time.Duration) note.Work {
	return note.Work{
		Kind: note.KindBatch, Name: name, Priority: priority, RunTime: note.Duration{Duration: runTime}, Team: name,
		Resources: fleet.Resources{CPUMilli: milli, MemoryMiB: 2 * milli},
	}
}
