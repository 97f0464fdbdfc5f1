package cmd_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/laburnumridge/laburnumridge/internal/cmd"
	"github.com/laburnumridge/laburnumridge/internal/operator"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"laburnumridge": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts guards against unintended changes to the output, exit codes and help of the commands. The comment at the
// top of each script describes what it checks.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			if err := os.CopyFS(env.Cd, os.DirFS("testdata/notes")); err != nil {
				return err
			}
			e := echo.New()
			operator.Register(e, newService(), operator.WithToken("secret"))
			up := httptest.NewServer(e)
			env.Defer(up.Close)
			down := httptest.NewServer(http.NotFoundHandler())
			down.Close()
			env.Setenv("LABURNUMRIDGE_TOKEN", "secret")
			env.Setenv("LABURNUMRIDGE_URL", up.URL)
			env.Setenv("DOWN", down.URL)
			env.Setenv("UP", up.URL)
			return nil
		},
	})
}
