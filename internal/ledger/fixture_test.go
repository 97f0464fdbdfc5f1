package ledger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/ledger"
	"github.com/laburnumridge/laburnumridge/internal/note"
)

// ownerFixture drives one owner step by step. Commits and workers' responses happen only when the test calls for
// them.
type ownerFixture struct {
	*ledger.Owner
	lastActions ledger.Actions
	now         time.Time
	// proposedCommit is the batch whose outcome the owner has not been told; nil if there is none.
	proposedCommit *ledger.Commit
	t              *testing.T
}

func newOwnerFixture(t *testing.T, s ledger.State, epoch int64, workers ...string) *ownerFixture {
	b := &ownerFixture{now: t0, t: t}
	// The times in the tests follow from a worker lease of 5 s.
	timing := ledger.DefaultTiming()
	timing.Lease = workerLease
	b.Owner = ledger.NewOwner(s, "host", epoch, t0, ledger.WithTiming(timing), ledger.WithViolationHandler(func(name, detail string) {
		t.Errorf("%s: %s", name, detail)
	}))
	var hosts []fleet.Host
	for _, w := range workers {
		hosts = append(hosts, fleet.Host{ID: w, Capacity: size(4), State: fleet.StateLive})
	}
	b.UpdateHosts(t0, hosts)
	b.advance(0)
	b.confirmCommit()
	return b
}

func size(cpus int64) fleet.Resources { return fleet.Resources{CPUMilli: 1000 * cpus, MemoryMiB: cpus} }

func batchJob(id string, cpus int64, tasks int) ledger.Job {
	return ledger.Job{ID: id, Kind: note.KindBatch, Resources: size(cpus), Tasks: tasks, Work: "plan"}
}

// boundState returns the state of a shard, taken over with epoch 1, in which job/0 is bound to w1.
func boundState(t *testing.T, noEpochs bool) ledger.State {
	bind := ledger.Bind("job/0", "w1", 0, 0)
	bind.NoEpochs = noEpochs
	s, err := ledger.State{}.Apply(ledger.NewBatch(t0, ledger.TakeOver(1, "old"), ledger.Accept(batchJob("job", 2, 1)), bind))
	assert.NilError(t, err)
	return s
}

// advance moves the clock and runs a tick.
func (b *ownerFixture) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.lastActions = b.Tick(b.now)
	if b.lastActions.Commit != nil {
		b.proposedCommit = b.lastActions.Commit
	}
}

func (b *ownerFixture) confirmCommit() {
	b.Committed(b.now)
	b.proposedCommit = nil
}

// renewAndAdvance moves the clock, renews the platform lease and runs a tick.
func (b *ownerFixture) renewAndAdvance(d time.Duration) {
	b.LeaseRenewed(b.now.Add(d))
	b.advance(d)
}

// commitProposed commits the proposed batch, and waits for one first if there is none.
func (b *ownerFixture) commitProposed() {
	if b.proposedCommit == nil {
		b.renewAndAdvance(3 * time.Second)
	}
	assert.Assert(b.t, b.proposedCommit != nil, "no commit was proposed within 3 s")
	b.confirmCommit()
}

// latestContact returns the contact of a worker from the last tick, or else from the next one that has one.
func (b *ownerFixture) latestContact(worker string) ledger.Contact {
	for range 3 {
		for _, c := range b.lastActions.Contacts {
			if c.Worker == worker {
				return c
			}
		}
		b.renewAndAdvance(time.Second)
	}
	b.t.Fatalf("no contact was sent to %s within 3 s", worker)
	return ledger.Contact{}
}

func (b *ownerFixture) respond(worker, boot string, capable bool, tasks ...ledger.TaskReport) {
	b.respondTo(b.latestContact(worker), boot, capable, tasks...)
}

func (b *ownerFixture) respondTo(c ledger.Contact, boot string, capable bool, tasks ...ledger.TaskReport) bool {
	r := ledger.WorkerReport{
		BootID: boot, Capacity: size(4), EpochCapable: capable, Tasks: tasks, Token: "t", Worker: c.Worker,
	}
	if capable {
		r.Epoch = b.Epoch()
	}
	return b.Reported(b.now, c, r)
}

// acceptAndBind commits a job and proposes to bind its tasks to a worker.
func (b *ownerFixture) acceptAndBind(job ledger.Job, worker string) {
	assert.Assert(b.t, b.Accept(job))
	b.commitProposed()
	for _, id := range job.TaskIDs() {
		assert.NilError(b.t, b.Bind(id, worker))
	}
}

// bindableTasks lists the tasks that may be bound, each with the worker it is bound to.
func (b *ownerFixture) bindableTasks() string {
	text := ""
	for _, c := range b.Bindable(b.now) {
		text += c.Task + "@" + c.Worker + " "
	}
	return text
}

func taskReport(task string, attempt int, phase ledger.Phase, checkpoint int64) ledger.TaskReport {
	return ledger.TaskReport{Task: task, Attempt: attempt, Phase: phase, Checkpoint: checkpoint}
}
