package entry_test

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/laburnumridge/laburnumridge/internal/entry"
	"github.com/laburnumridge/laburnumridge/internal/kvstore"
	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/settings"
)

// newHost returns a host that is not started, with the given strength and store.
func newHost(strength float64, store kvstore.Store) *entry.Host {
	s := settings.Default()
	s.Host, s.Zone, s.Platform.Strength = "self", "z", strength
	return entry.New(s, entry.Platform{Store: store}, discardingLogger())
}

// startPeer starts a host that answers requests with reply, and returns its address.
func startPeer(t *testing.T, reply func(peer.Message) peer.Message) string {
	t.Helper()
	server := httptest.NewServer(peer.NewPool(logrus.NewEntry(discardingLogger()),
		func(_ context.Context, m peer.Message) (peer.Message, error) { return reply(m), nil }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func discardingLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
