package laburnumridge_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// TestPublishAfterLostResponse guards against a lost response that is reported as a refusal, and against a retry that
// sends another note.
func TestPublishAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeTransport{steps: []func() (*http.Response, error){fails(errReset), respond(200, `{"id":"n1","revision":7}`)}}
		p, err := n.client(t).Publish(t.Context(), []byte(`id = "n1"`))
		assert.NilError(t, err)
		assert.Equal(t, p.Revision, int64(7))
		assert.Equal(t, len(n.requests), 2)
		for _, r := range n.requests {
			text, err := io.ReadAll(r.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(text), `id = "n1"`)
		}
	})
}

// TestFailover guards against an operator call that fails because one entry host is down, and against later calls that
// try that host first again.
func TestFailover(t *testing.T) {
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Header.Get("Authorization") == "Bearer secret")
		_, _ = io.WriteString(w, `[]`)
	}))
	defer up.Close()
	// The retry budget is 0: failover must not use it.
	c, err := laburnumridge.New(laburnumridge.WithURLs(down.URL, up.URL+"/"), laburnumridge.WithToken("secret"),
		laburnumridge.WithRetryBudget(0, 0))
	assert.NilError(t, err)
	for range 2 {
		_, err = c.Notes(t.Context())
		assert.NilError(t, err)
	}
}

// TestBrokenKeepAliveConnection guards against a wrong not_run outcome: when a reused connection breaks, net/http sends
// the request again, and a dial error of the second attempt must not hide that the first one may have run.
func TestBrokenKeepAliveConnection(t *testing.T) {
	var server *httptest.Server
	requests := 0
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests++; requests == 1 {
			return
		}
		_ = server.Listener.Close()
		conn, _, err := w.(http.Hijacker).Hijack()
		assert.Check(t, err)
		_ = conn.Close()
	}))
	defer server.Close()
	c, err := laburnumridge.New(laburnumridge.WithURLs(server.URL), laburnumridge.WithRetryBudget(0, 0),
		laburnumridge.WithHTTPClient(&http.Client{Transport: &http.Transport{}}))
	assert.NilError(t, err)
	_, err = c.Do(t.Context(), "dose-orders", http.MethodPost, "", []byte("{}"))
	assert.NilError(t, err)
	_, err = c.Do(t.Context(), "dose-orders", http.MethodPost, "", []byte("{}"))
	assert.ErrorIs(t, err, laburnumridge.ErrUnknown)
	assert.Equal(t, requests, 2)
}

// TestMalformedURL guards against a malformed base URL that is reported only by the first call.
func TestMalformedURL(t *testing.T) {
	for _, u := range []string{"", "127.0.0.1:8400", "ftp://host", "http://"} {
		_, err := laburnumridge.New(laburnumridge.WithURLs(u))
		assert.ErrorIs(t, err, laburnumridge.ErrInvalid, u)
	}
	_, err := laburnumridge.New(laburnumridge.WithURLs())
	assert.ErrorIs(t, err, laburnumridge.ErrInvalid)
}
