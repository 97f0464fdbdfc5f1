package integration_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/knownred"
	lr "github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

// Guards against requests beyond the limits that block the entry host, reach a worker or get a response without the
// outcome not_run.
func TestCallerLimits(t *testing.T) {
	startParallel(t)
	c := startCluster(t, clusterConfig{zones: []zoneSize{{"wattala", 1, 2}}, settings: "[limits]\nmax_body_bytes = 4096\nmax_header_bytes = 2048\nread_timeout = \"500ms\"\n"})
	before := len(c.journal.Executions())
	for name, tc := range map[string]struct {
		header, body string
		length       int
		status       int
		reason       string
	}{
		"body too large":     {body: strings.Repeat("x", 4097), status: http.StatusRequestEntityTooLarge, reason: "body_too_large"},
		"header too large":   {header: "X-Large: " + strings.Repeat("x", 16<<10), status: http.StatusRequestHeaderFieldsTooLarge, reason: "header_too_large"},
		"slow sender":        {body: "part", length: 100, status: http.StatusRequestTimeout, reason: "body_incomplete"},
		"key too long":       {header: "Idempotency-Key: " + strings.Repeat("k", 200), status: http.StatusBadRequest, reason: "bad_key"},
		"key not ASCII":      {header: "Idempotency-Key: k\u00e9y", status: http.StatusBadRequest, reason: "bad_key"},
		"timeout not number": {header: "Laburnumridge-Timeout-Ms: soon", status: http.StatusBadRequest, reason: "bad_timeout"},
		"timeout negative":   {header: "Laburnumridge-Timeout-Ms: -1", status: http.StatusBadRequest, reason: "bad_timeout"},
		"timeout too large":  {header: "Laburnumridge-Timeout-Ms: 99999999999999", status: http.StatusBadRequest, reason: "bad_timeout"},
		"no such service":    {header: "X-Service: none", status: http.StatusNotFound, reason: "no_such_service"},
	} {
		t.Run(name, func(t *testing.T) {
			knownred.Skip(t)
			service := "orders"
			if tc.status == http.StatusNotFound {
				service = "none"
			}
			res := c.sendRaw(t, service, tc.header, tc.body, max(tc.length, len(tc.body)))
			defer func() { _ = res.Body.Close() }()
			var p lr.Problem
			assert.Equal(t, res.StatusCode, tc.status)
			assert.Assert(t, strings.HasPrefix(res.Header.Get("Content-Type"), lr.ProblemType), "%v", res.Header)
			assert.NilError(t, json.NewDecoder(res.Body).Decode(&p))
			assert.Equal(t, p.Outcome, lr.OutcomeNotRun)
			assert.Equal(t, p.Reason, tc.reason)
		})
	}
	assert.Equal(t, len(c.journal.Executions()), before)
	c.awaitServices(c.entries...)
}

// sendRaw writes a request to a connection without an HTTP client, which would refuse to send some of them. A length
// greater than that of the body leaves the request incomplete.
func (c *cluster) sendRaw(t *testing.T, service, header, body string, length int) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", c.entries[0].callerAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	if header != "" {
		header += "\r\n"
	}
	_, err = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n%s\r\n%s", service, length, header, body)
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	return res
}
