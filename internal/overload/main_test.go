package overload_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// waitTimeout is the limit of each wait. It is long, so that tests on a busy machine are slow but don't fail.
const waitTimeout = 60 * time.Second

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the program without the race detector, which multiplies the memory that the tests check.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "laburnumridge-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "laburnumridge")
	build := exec.Command("go", "build", "-o", binary, "github.com/laburnumridge/laburnumridge")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the program: %s\n%s", err, out)
		return 1
	}
	return m.Run()
}
