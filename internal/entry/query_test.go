package entry_test

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Guards against a count of pending jobs that asks one owner after the other, so that a caller waits for the sum of
// their delays. Each owner here replies only once all of them have been asked.
func TestPendingAsksAllOwnersAtOnce(t *testing.T) {
	const owners = 3
	var asked sync.WaitGroup
	asked.Add(owners)
	log := logrus.New()
	log.SetOutput(io.Discard)
	var addresses []string
	for range owners {
		server := httptest.NewServer(peer.NewPool(logrus.NewEntry(log),
			func(context.Context, peer.Message) (peer.Message, error) {
				asked.Done()
				asked.Wait()
				return peer.Message{PendingReply: &peer.PendingReply{Count: 1, Known: true}}, nil
			}))
		defer server.Close()
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	h := newHost(1, kvstore.Store{
		Range: func(context.Context, string) ([]kvstore.KV, int64, error) { return nil, 0, kvstore.ErrUnavailable },
	})
	h.SetOwners(addresses...)
	a := h.Pending(t.Context(), workflow.Queue{Name: "q"})
	assert.Equal(t, a.Outcome, entry.OutcomeAccepted)
	assert.Equal(t, a.Pending, owners)
}
