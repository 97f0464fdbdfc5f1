package cmd_test

import (
	"encoding/pem"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/cmd"
	"github.com/laburnumridge/laburnumridge/internal/operator"
)

// Guards against commands that reject certificates signed by the authority given by --ca, and against commands that
// accept any certificate.
func TestCommandsVerifyServerCertificate(t *testing.T) {
	e := echo.New()
	operator.Register(e, newService())
	server := httptest.NewTLSServer(e)
	t.Cleanup(server.Close)
	ca := filepath.Join(t.TempDir(), "ca.pem")
	text := pem.EncodeToMemory(&pem.Block{Bytes: server.Certificate().Raw, Type: "CERTIFICATE"})
	assert.NilError(t, os.WriteFile(ca, text, 0o600))
	for _, tc := range []struct {
		name       string
		args       []string
		wantCode   int
		wantStderr string
	}{
		{"authority", []string{"--ca", ca}, 0, ""},
		{"none", nil, 1, "certificate"},
		{"no such file", []string{"--ca", ca + ".gone"}, 1, "client_ca"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var stdout, stderr strings.Builder
			args := append([]string{"note", "list", "--timeout", "2s", "--url", server.URL}, tc.args...)
			assert.Equal(t, cmd.Main(args, &stdout, &stderr), tc.wantCode, "%s", stderr.String())
			assert.Assert(t, strings.Contains(stderr.String(), tc.wantStderr), "%s", stderr.String())
		})
	}
}
