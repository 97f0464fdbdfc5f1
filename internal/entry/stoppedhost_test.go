package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// ownerAddressEnv makes TestHostProcessThatAsksOwner ask the owner at this address.
const ownerAddressEnv = "LABURNUMRIDGE_TEST_OWNER"

// stateQueries is the number of queries during which the host is stopped. When it goes on, the timer of the deadline and the answer
// are both there, so one query alone may get its answer by chance.
const stateQueries = 4

// Guards against a host that takes its own pause for a late answer of a peer: it reports a job as running that its owner says has
// completed, and closes the connection, on which other requests wait.
func TestAnswerOfPeerThatArrivesWhileHostIsStopped(t *testing.T) {
	const stop = 700 * time.Millisecond // longer than the deadline of a query
	started := make(chan struct{})
	host := exec.Command(os.Args[0], "-test.run", "^TestHostProcessThatAsksOwner$", "-test.v")
	var resumes sync.WaitGroup
	address := startPeer(t, func(m peer.Message) peer.Message {
		if m.LoadQuery != nil {
			return peer.Message{LoadReply: &peer.LoadReply{Known: true, Room: 1000}}
		}
		<-started
		assert.Check(t, host.Process.Signal(syscall.SIGSTOP))
		waitUntilStopped(t, host.Process.Pid)
		resumes.Go(func() {
			time.Sleep(stop)
			assert.Check(t, host.Process.Signal(syscall.SIGCONT))
		})
		return peer.Message{JobReply: &peer.JobReply{Outcome: string(entry.OutcomeAccepted), State: string(workflow.StateCompleted)}}
	})
	host.Env = append(os.Environ(), ownerAddressEnv+"="+address)
	var out bytes.Buffer
	host.Stdout, host.Stderr = &out, &out
	assert.NilError(t, host.Start())
	close(started)
	assert.NilError(t, host.Wait(), "%s", &out)
	resumes.Wait()
	assert.Equal(t, strings.Count(out.String(), "the job is completed"), stateQueries, "%s", &out)
}

// waitUntilStopped waits until a process is stopped. The signal takes effect some time after it was sent, and on a busy machine the
// process would otherwise get an answer and exit before.
func waitUntilStopped(t *testing.T, pid int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if !assert.Check(t, err) || strings.Contains(string(status), "T (stopped)") {
			return
		}
	}
	assert.Check(t, false, "the process is not stopped")
}

// TestHostProcessThatAsksOwner asks the owner of a shard for the state of a job, in a process that another test stops.
func TestHostProcessThatAsksOwner(t *testing.T) {
	address := os.Getenv(ownerAddressEnv)
	if address == "" {
		t.Skip("runs in a process that another test starts")
	}
	h := newHost(1, kvstore.Store{Get: func(context.Context, string) (kvstore.KV, error) {
		return kvstore.KV{ModRevision: 1, Value: workflow.Encode(workflow.JobLocation{})}, nil
	}})
	h.SetOwners(address)
	waitForLoads(t, h, 0) // dials the owner
	for i := range stateQueries {
		a := h.State(t.Context(), workflow.Queue{Name: "q"}, fmt.Sprintf("%016x", i))
		t.Logf("the job is %s", a.State)
	}
}
