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

// patience bounds each wait; it is long, so that a busy machine makes tests slow and not red.
const patience = 60 * time.Second

// binary is the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "laburnumridge-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "laburnumridge")
	build := exec.Command("go", "build", "-o", binary, "-race="+strconv.FormatBool(isRace()), "github.com/laburnumridge/laburnumridge")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the program: %s\n%s", err, out)
		return 1
	}
	return m.Run()
}

// isRace reports whether the test itself runs with the race detector.
func isRace() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}

// begin lets a test run beside the others, unless KNOWN-RED.txt lists it.
func begin(t *testing.T) {
	t.Helper()
	knownred.Skip(t)
	t.Parallel()
}

// want returns an error unless ok.
func want(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return eris.Errorf(format, args...)
}

// eventually repeats f until it returns no error.
func eventually(t *testing.T, what string, f func() error) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := f(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(patience))
}
