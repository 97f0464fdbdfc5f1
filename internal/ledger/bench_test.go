package ledger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

// bench drives one owner by hand over workers that answer only when the test says so.
type bench struct {
	*ledger.Owner
	last ledger.Actions
	now  time.Time
	// proposal is the batch that has no outcome.
	proposal *ledger.Commit
	t        *testing.T
}

func newBench(t *testing.T, s ledger.State, epoch int64, workers ...string) *bench {
	b := &bench{now: t0, t: t}
	// The cases name times that follow from a worker lease of 5 s.
	timing := ledger.DefaultTiming()
	timing.Lease = workerLease
	b.Owner = ledger.NewOwner(s, "host", epoch, t0, ledger.WithTiming(timing), ledger.WithViolated(func(name, detail string) {
		t.Errorf("%s: %s", name, detail)
	}))
	var hosts []fleet.Host
	for _, w := range workers {
		hosts = append(hosts, fleet.Host{ID: w, Capacity: size(4), State: fleet.StateLive})
	}
	b.HostList(t0, hosts)
	b.tick(0)
	b.committed()
	return b
}

func size(cpus int64) fleet.Resources { return fleet.Resources{CPUMilli: 1000 * cpus, MemoryMiB: cpus} }

func batch(id string, cpus int64, tasks int) ledger.Job {
	return ledger.Job{ID: id, Kind: note.KindBatch, Resources: size(cpus), Tasks: tasks, Work: "plan"}
}

// stateOf returns the state of a shard in which job/0 is bound to w1.
func stateOf(t *testing.T, noEpochs bool) ledger.State {
	bind := ledger.Bind("job/0", "w1", 0, 0)
	bind.NoEpochs = noEpochs
	s, err := ledger.State{}.Apply(ledger.NewBatch(t0, ledger.TakeOver(1, "old"), ledger.Accept(batch("job", 2, 1)), bind))
	assert.NilError(t, err)
	return s
}

func (b *bench) tick(d time.Duration) {
	b.now = b.now.Add(d)
	b.last = b.Tick(b.now)
	if b.last.Commit != nil {
		b.proposal = b.last.Commit
	}
}

func (b *bench) committed() {
	b.Committed(b.now)
	b.proposal = nil
}

func (b *bench) renewed(d time.Duration) {
	b.LeaseRenewed(b.now.Add(d))
	b.tick(d)
}

func (b *bench) commit() {
	if b.proposal == nil {
		b.renewed(3 * time.Second)
	}
	assert.Assert(b.t, b.proposal != nil, "nothing proposed")
	b.committed()
}

// contact returns the newest contact of a worker.
func (b *bench) contact(worker string) ledger.Contact {
	for range 3 {
		for _, c := range b.last.Contacts {
			if c.Worker == worker {
				return c
			}
		}
		b.renewed(time.Second)
	}
	b.t.Fatalf("no contact of %s", worker)
	return ledger.Contact{}
}

func (b *bench) answer(worker, boot string, capable bool, tasks ...ledger.TaskReport) {
	b.answerTo(b.contact(worker), boot, capable, tasks...)
}

func (b *bench) answerTo(c ledger.Contact, boot string, capable bool, tasks ...ledger.TaskReport) bool {
	r := ledger.WorkerReport{
		BootID: boot, Capacity: size(4), EpochCapable: capable, Tasks: tasks, Token: "t", Worker: c.Worker,
	}
	if capable {
		r.Epoch = b.Epoch()
	}
	return b.Reported(b.now, c, r)
}

func (b *bench) bound(job ledger.Job, worker string) {
	assert.Assert(b.t, b.Accept(job))
	b.commit()
	for _, id := range job.TaskIDs() {
		assert.NilError(b.t, b.Bind(id, worker))
	}
}

func (b *bench) unbound() string {
	text := ""
	for _, c := range b.Unbound(b.now) {
		text += c.Task + "@" + c.Worker + " "
	}
	return text
}

func report(task string, attempt int, phase ledger.Phase, checkpoint int64) ledger.TaskReport {
	return ledger.TaskReport{Task: task, Attempt: attempt, Phase: phase, Checkpoint: checkpoint}
}
