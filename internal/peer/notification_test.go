package peer_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/peer"
)

// Guards against a notification that nobody waits for, or a state query, that closes the connection to a busy owner when it gets no
// reply in time, while a relayed submission waits for its reply there: the submission then has an unknown outcome although the owner
// records it. Guards as well against a connection that stays open when no request waits on it and no other will be sent on it. The
// timeouts are those of the entry hosts: 0.4 s for a notification and 0.9 s for a relayed submission.
func TestUnansweredNotificationLeavesSubmission(t *testing.T) {
	received, busy, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	_, address := newPool(t, func(ctx context.Context, m peer.Message) (peer.Message, error) {
		if m.JobSubmit.Accepted {
			<-ctx.Done()
			close(ended)
			return peer.Message{}, ctx.Err()
		}
		close(received)
		<-busy
		return peer.Message{JobReply: &peer.JobReply{Outcome: "accepted"}}, nil
	})
	client, _ := newPool(t, refuseAll)
	submitted := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		_, err := client.Request(ctx, address, peer.Message{JobSubmit: &peer.JobSubmit{}})
		submitted <- err
	}()
	<-received
	time.AfterFunc(600*time.Millisecond, func() { close(busy) })
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	_, err := client.Request(ctx, address, peer.Message{JobSubmit: &peer.JobSubmit{Accepted: true}})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.NilError(t, <-submitted)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is open although no request waits on it")
	}
}
