package fake_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/fake"
	"github.com/laburnumridge/laburnumridge/internal/fleet"
	"github.com/laburnumridge/laburnumridge/internal/note"
	"github.com/laburnumridge/laburnumridge/internal/worker"
)

// post calls the worker's handler without a network: a goroutine that waits for network I/O doesn't count as blocked in
// a synctest bubble, so the virtual clock would stand still.
func post[Out any](t *testing.T, w http.Handler, path string, in any) (Out, worker.Reason) {
	t.Helper()
	body, err := json.Marshal(in)
	assert.NilError(t, err)
	rec := httptest.NewRecorder()
	w.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
	var out Out
	var refusal worker.Refusal
	if rec.Code != http.StatusOK {
		assert.NilError(t, json.Unmarshal(rec.Body.Bytes(), &refusal))
		return out, refusal.Reason
	}
	assert.NilError(t, json.Unmarshal(rec.Body.Bytes(), &out))
	return out, ""
}

func fence(t *testing.T, w http.Handler, epoch int64) worker.Report {
	t.Helper()
	report, reason := post[worker.Report](t, w, worker.PathFence, worker.FenceRequest{Epoch: epoch, Owner: "a"})
	assert.Equal(t, reason, worker.Reason(""))
	return report
}

func startRequest(task string, attempt int64, token string) worker.StartRequest {
	return worker.StartRequest{
		AttemptRef: worker.AttemptRef{Attempt: attempt, Task: task}, Epoch: 1, Kind: note.KindBatch,
		Resources: fleet.Resources{CPUMilli: 1000, MemoryMiB: 100},
		RunTime:   note.Duration{Duration: time.Minute}, Token: token, Work: "settlement",
	}
}

func start(t *testing.T, w http.Handler, in worker.StartRequest) worker.Reason {
	t.Helper()
	_, reason := post[worker.Task](t, w, worker.PathStart, in)
	return reason
}

// Guards against a task that runs on after its lease has expired by the worker's clock, when the owner has crashed.
func TestTasksEndWithTheirLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The worker's clock is an hour ahead of the journal's, which must not change the result.
		ahead := func() time.Time { return time.Now().Add(time.Hour) }
		j := fake.NewJournal(time.Now)
		w := fake.NewWorker(fake.WithClock(ahead), fake.WithJournal(j), fake.WithLease(5*time.Second))
		token := fence(t, w, 1).Token
		time.Sleep(3 * time.Second)
		began := time.Now()
		assert.Equal(t, start(t, w, startRequest("a", 1, token)), worker.Reason(""))
		time.Sleep(time.Second)
		report, _ := post[worker.Report](t, w, worker.PathHeartbeat, worker.HeartbeatRequest{Epoch: 1, Token: token})
		time.Sleep(20 * time.Second)
		got := w.Tasks()
		assert.Equal(t, got[0].Phase, worker.PhaseEvicted)
		assert.Equal(t, got[0].Reason, worker.ReasonLeaseExpired)
		assert.Equal(t, j.Runs()[0].End.Sub(began), 6*time.Second)

		// The token of the last report has expired, so a delayed start must be refused.
		assert.Equal(t, start(t, w, startRequest("b", 1, report.Token)), worker.ReasonTokenExpired)
	})
}

// Guards against a change that is lost together with the response that reported it, and against heartbeats that repeat
// changes which the owner has received.
func TestHeartbeatListsChangesSinceItsToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fake.NewWorker(fake.WithReportDelay(time.Hour))
		first := fence(t, w, 1)
		for _, task := range []string{"a", "b"} {
			assert.Equal(t, start(t, w, startRequest(task, 1, first.Token)), worker.Reason(""))
		}
		heartbeat := func(token string, acks ...worker.AttemptRef) worker.Report {
			report, reason := post[worker.Report](t, w, worker.PathHeartbeat,
				worker.HeartbeatRequest{Acks: acks, Epoch: 1, Token: token})
			assert.Equal(t, reason, worker.Reason(""))
			return report
		}
		lost := heartbeat(first.Token)
		assert.Equal(t, len(lost.Tasks), 2)
		second := heartbeat(first.Token)
		assert.Equal(t, len(second.Tasks), 2)
		assert.Equal(t, len(heartbeat(second.Token).Tasks), 0)

		// The end of a task is repeated until it is acknowledged.
		stop := worker.StopRequest{AttemptRef: worker.AttemptRef{Attempt: 1, Task: "a"}, Checkpoint: true, Epoch: 1}
		_, reason := post[worker.Task](t, w, worker.PathStop, stop)
		assert.Equal(t, reason, worker.Reason(""))
		third := heartbeat(second.Token)
		assert.Equal(t, heartbeat(third.Token).Tasks[0].Phase, worker.PhaseEvicted)
		assert.Equal(t, len(heartbeat(third.Token, stop.AttemptRef).Tasks), 0)

		// Neither the acknowledged attempt nor one that was stopped before its start arrived can start.
		assert.Equal(t, start(t, w, startRequest("a", 1, third.Token)), worker.ReasonStaleAttempt)
		stop.Task = "c"
		_, reason = post[worker.Task](t, w, worker.PathStop, stop)
		assert.Equal(t, reason, worker.Reason(""))
		assert.Equal(t, start(t, w, startRequest("c", 1, third.Token)), worker.ReasonStaleAttempt)
	})
}

// Guards against a worker that accepts calls of an earlier owner, of a second owner with the same epoch, or with a token
// of an earlier boot.
func TestStaleEpochAndBootAreRefused(t *testing.T) {
	w := fake.NewWorker()
	report := fence(t, w, 1)
	fence(t, w, 2)
	assert.Equal(t, start(t, w, startRequest("a", 1, report.Token)), worker.ReasonStaleEpoch)
	_, reason := post[worker.Report](t, w, worker.PathFence, worker.FenceRequest{Epoch: 2, Owner: "b"})
	assert.Equal(t, reason, worker.ReasonStaleEpoch)
	token := fence(t, w, 2).Token
	w.Kill()
	assert.NilError(t, w.Restart())
	defer w.Kill()
	_, reason = post[worker.Report](t, w, worker.PathHeartbeat, worker.HeartbeatRequest{Epoch: 2, Token: token})
	assert.Equal(t, reason, worker.ReasonTokenExpired)
	assert.Assert(t, fence(t, w, 2).BootID != report.BootID)
}

// Guards against a worker whose later boot carries out calls that were sent to the earlier one: a start, a heartbeat, or a stop,
// throttle or checkpoint of an attempt of the earlier boot while a later attempt of the task runs.
func TestCallsForEarlierBootChangeNothing(t *testing.T) {
	w := fake.NewWorker()
	late := fence(t, w, 1).Token
	assert.Equal(t, start(t, w, startRequest("a", 1, late)), worker.Reason(""))
	w.Kill()
	assert.NilError(t, w.Restart())
	defer w.Kill()
	report := fence(t, w, 1)
	assert.Equal(t, len(report.Tasks), 0)
	assert.Equal(t, start(t, w, startRequest("b", 1, late)), worker.ReasonTokenExpired)
	assert.Equal(t, start(t, w, startRequest("a", 2, report.Token)), worker.Reason(""))

	earlier := worker.AttemptRef{Attempt: 1, Task: "a"}
	_, reason := post[worker.Report](t, w, worker.PathHeartbeat, worker.HeartbeatRequest{
		Acks: []worker.AttemptRef{{Attempt: 2, Task: "a"}}, Epoch: 1, Token: late,
	})
	assert.Equal(t, reason, worker.ReasonTokenExpired)
	_, reason = post[worker.Task](t, w, worker.PathStop, worker.StopRequest{AttemptRef: earlier, Epoch: 1})
	assert.Equal(t, reason, worker.ReasonStaleAttempt)
	_, reason = post[worker.Task](t, w, worker.PathThrottle, worker.ThrottleRequest{AttemptRef: earlier, Epoch: 1, Fraction: 0.5})
	assert.Equal(t, reason, worker.ReasonStaleAttempt)
	_, reason = post[worker.Task](t, w, worker.PathCheckpoint, worker.CheckpointRequest{AttemptRef: earlier, Epoch: 1})
	assert.Equal(t, reason, worker.ReasonStaleAttempt)
	tasks := w.Tasks()
	assert.Equal(t, len(tasks), 1)
	assert.Equal(t, tasks[0].Attempt, int64(2))
	assert.Equal(t, tasks[0].Phase, worker.PhaseRunning)
}

// Guards against progress that ignores the throttle, and checkpoints beyond the progress of the task.
func TestProgressCheckpointsAndThrottle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fake.NewWorker(fake.WithLease(time.Hour), fake.WithReportDelay(8*time.Second), fake.WithProfile(
			func(in worker.StartRequest) fake.Profile {
				p := fake.DeclaredProfile(in)
				p.RunTime, p.CPUMilli = 40*time.Second, 3000
				return p
			}))
		token := fence(t, w, 1).Token
		in := startRequest("a", 1, token)
		assert.Equal(t, start(t, w, in), worker.Reason(""))
		time.Sleep(11 * time.Second)
		throttle := worker.ThrottleRequest{AttemptRef: in.AttemptRef, Epoch: 1, Fraction: 0.5}
		_, reason := post[worker.Task](t, w, worker.PathThrottle, throttle)
		assert.Equal(t, reason, worker.Reason(""))
		time.Sleep(10 * time.Second)
		assert.Equal(t, w.Tasks()[0].Checkpoint, int64(10000))
		heartbeat, _ := post[worker.Report](t, w, worker.PathHeartbeat, worker.HeartbeatRequest{Epoch: 1, Token: token})
		assert.Equal(t, len(heartbeat.Usage), 2)
		assert.Equal(t, heartbeat.Usage[1].CPUMilli, int64(3000))
		assert.Equal(t, heartbeat.SentAt.Sub(heartbeat.Usage[1].TakenAt), 11*time.Second)
		stop := worker.StopRequest{AttemptRef: in.AttemptRef, Checkpoint: true, Epoch: 1}
		got, _ := post[worker.Task](t, w, worker.PathStop, stop)
		assert.Equal(t, got.Checkpoint, int64(16000))

		in.Attempt, in.Checkpoint = 2, got.Checkpoint
		assert.Equal(t, start(t, w, in), worker.Reason(""))
		time.Sleep(24*time.Second - time.Millisecond)
		assert.Equal(t, w.Tasks()[0].Phase, worker.PhaseRunning)
		time.Sleep(time.Millisecond)
		assert.Equal(t, w.Tasks()[0].Phase, worker.PhaseDone)
	})
}

// Guards against a worker that runs more requests than it has slots, and against a refused request that runs.
func TestRequestsBeyondSlotsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := fake.NewJournal(time.Now)
		w := fake.NewWorker(fake.WithJournal(j), fake.WithCapacity(
			fleet.Resources{Connections: 64, CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 2}))
		in := startRequest("dose", 1, fence(t, w, 1).Token)
		in.Kind, in.Work, in.Resources.Slots = note.KindService, "dose", 2
		assert.Equal(t, start(t, w, in), worker.Reason(""))
		codes := make(chan int, 3)
		for _, id := range []string{"1", "2", "3"} {
			go func() {
				r := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/serve/dose/x", nil)
				r.Header.Set(worker.HeaderRequestID, id)
				r.Header.Set(worker.HeaderEpoch, "1")
				rec := httptest.NewRecorder()
				w.ServeHTTP(rec, r)
				if rec.Header().Get(worker.HeaderOutcome) == worker.OutcomeNotRun {
					j.RecordNotRun(id)
				}
				codes <- rec.Code
			}()
		}
		statusSum := <-codes + <-codes + <-codes
		assert.Equal(t, statusSum, 200+200+503)
		assert.Equal(t, w.Peak("dose"), int64(2))
		assert.Equal(t, w.PeakSlots(), int64(2))
		assert.Equal(t, w.Refusals(worker.ReasonNoFreeSlot), 1)
		// The journal reports the third request as a violation, since its sender exceeded the slots.
		assert.DeepEqual(t, j.Check(), []string{"worker worker-1: request beyond its 2 slots or connections"})
	})
}

// Guards against a failure of the worker that is reported with the same reason as a failure of the task.
func TestFailureReasons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fake.NewWorker(fake.WithoutEpochs(), fake.WithProfile(func(worker.StartRequest) fake.Profile {
			return fake.Profile{FailAfter: time.Second, RunTime: time.Minute}
		}))
		// Without the epoch capability a lower epoch is accepted.
		fence(t, w, 2)
		token := fence(t, w, 1).Token
		assert.Equal(t, start(t, w, startRequest("a", 1, token)), worker.Reason(""))
		time.Sleep(time.Second)
		w.SetFailing(true)
		assert.Equal(t, start(t, w, startRequest("b", 1, token)), worker.Reason(""))
		time.Sleep(time.Second)
		assert.Equal(t, w.Tasks()[0].Reason, fake.ReasonExitStatus)
		assert.Equal(t, w.Tasks()[1].Reason, fake.ReasonWorkerFault)
	})
}

// Guards against a journal that misses violations, on which the integration tests rely.
func TestJournalFindsViolations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := fake.NewJournal(time.Now)
		for _, id := range []string{"w1", "w2"} {
			w := fake.NewWorker(fake.WithID(id), fake.WithJournal(j))
			token := fence(t, w, 1).Token
			assert.Equal(t, start(t, w, startRequest("twice", 1, token)), worker.Reason(""))
			in := startRequest("dose-"+id, 1, token)
			in.Kind, in.Work, in.Resources.Slots = note.KindService, "dose", 1
			assert.Equal(t, start(t, w, in), worker.Reason(""))
			r := httptest.NewRequest(http.MethodPost, "/serve/dose/x", nil)
			r.Header.Set(worker.HeaderRequestID, "request-"+id)
			r.Header.Set(worker.HeaderEpoch, "1")
			r.Header.Set(worker.HeaderKey, "kelaniya:key")
			w.ServeHTTP(httptest.NewRecorder(), r)
			big := startRequest("big", 1, token)
			big.Resources.CPUMilli = 99_000
			assert.Equal(t, start(t, w, big), worker.ReasonNoCapacity)
		}
		j.RecordNotRun("request-w2")
		assert.Equal(t, len(j.Check()), 6, "%q", j.Check())
	})
}
