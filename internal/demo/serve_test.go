package demo_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/demo"
	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// TestServeRunsUntilContextIsCancelled guards against a fleet that is reported as ready before operators and
// callers can use it, and against one that keeps running after its context is cancelled.
func TestServeRunsUntilContextIsCancelled(t *testing.T) {
	user, err := demo.UserByName("retablo")
	assert.NilError(t, err)
	log := logrus.New()
	var lines bytes.Buffer
	log.SetOutput(&lines)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(lines.String())
		}
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ready := make(chan []string, 1)
	ended := make(chan error, 1)
	go func() { ended <- demo.Serve(ctx, user, log, func(urls []string) { ready <- urls }) }()

	var urls []string
	select {
	case urls = <-ready:
	case err := <-ended:
		t.Fatalf("the fleet ended before it was ready: %v", err)
	}
	assert.Equal(t, len(urls), 2*len(user.Zones))
	client, err := laburnumridge.New(laburnumridge.WithURLs(urls...))
	assert.NilError(t, err)
	in, err := client.InForce(ctx, user.Batch)
	assert.NilError(t, err)
	assert.Equal(t, in.Revision, int64(1))
	response, err := client.Do(ctx, user.Services[0], "POST", "/seat/7", []byte("hold"))
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(body), "hold"), string(body))

	stop()
	assert.NilError(t, <-ended)
	_, err = client.Status(t.Context())
	assert.ErrorIs(t, err, laburnumridge.ErrNotRun)
}
