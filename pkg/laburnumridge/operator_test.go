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

// TestPublishAfterLostAnswer guards against a lost answer that the operator takes for a refusal,
// and against a repeat that sends another note.
func TestPublishAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{steps: []func() (*http.Response, error){fails(errReset), answers(200, `{"id":"n1","revision":7}`)}}
		p, err := n.client(t).Publish(t.Context(), []byte(`id = "n1"`))
		assert.NilError(t, err)
		assert.Equal(t, p.Revision, int64(7))
		assert.Equal(t, len(n.seen), 2)
		for _, r := range n.seen {
			text, err := io.ReadAll(r.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(text), `id = "n1"`)
		}
	})
}

// TestHostDown guards against an operator who is stopped by one entry host that is gone, and
// against asking that host first again.
func TestHostDown(t *testing.T) {
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Header.Get("Authorization") == "Bearer secret")
		_, _ = io.WriteString(w, `[]`)
	}))
	defer up.Close()
	// No retry is left, so moving on must not need one.
	c, err := laburnumridge.New(laburnumridge.WithURLs(down.URL, up.URL+"/"), laburnumridge.WithToken("secret"),
		laburnumridge.WithRetryBudget(0, 0))
	assert.NilError(t, err)
	for range 2 {
		_, err = c.Notes(t.Context())
		assert.NilError(t, err)
	}
}

// TestBrokenKeptConnection guards against a request that net/http sends again after a kept
// connection breaks, and whose failed second connection hides that the first one carried it.
func TestBrokenKeptConnection(t *testing.T) {
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

// TestMalformedURL guards against a client that fails only at its first call.
func TestMalformedURL(t *testing.T) {
	for _, u := range []string{"", "127.0.0.1:8400", "ftp://host", "http://"} {
		_, err := laburnumridge.New(laburnumridge.WithURLs(u))
		assert.ErrorIs(t, err, laburnumridge.ErrInvalid, u)
	}
	_, err := laburnumridge.New(laburnumridge.WithURLs())
	assert.ErrorIs(t, err, laburnumridge.ErrInvalid)
}
