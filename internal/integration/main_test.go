package integration_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/poll"

	"github.com/laburnumridge/laburnumridge/internal/knownred"
)

// waitTimeout is the limit of each wait. It is long, so that tests on a busy machine are slow but don't fail.
const waitTimeout = 60 * time.Second

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "laburnumridge-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "laburnumridge")
	build := exec.Command("go", "build", "-o", binary, "-race="+strconv.FormatBool(isRaceEnabled()), "github.com/laburnumridge/laburnumridge")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the program: %s\n%s", err, out)
		return 1
	}
	return m.Run()
}

// isRaceEnabled reports whether the test binary was built with the race detector.
func isRaceEnabled() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}

// startParallel marks a test as parallel, or skips it if KNOWN-RED.txt lists it.
func startParallel(t *testing.T) {
	t.Helper()
	knownred.Skip(t)
	t.Parallel()
}

// errorUnless returns an error with the given message if ok is false.
func errorUnless(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return eris.Errorf(format, args...)
}

// eventually calls f every 50 ms until it returns no error, for at most waitTimeout.
func eventually(t *testing.T, what string, f func() error) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := f(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(waitTimeout))
}
