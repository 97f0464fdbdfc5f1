package knownred

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// listPaths are relative to the directories of packages directly below the root or internal, since go test runs a test in
// the directory of its package.
var listPaths = []string{"../KNOWN-RED.txt", "../../KNOWN-RED.txt"}

// Skip skips t if an entry of KNOWN-RED.txt has the line "test: NAME" with its name, and prints the entry. Entries are
// separated by empty lines.
func Skip(t testing.TB) {
	t.Helper()
	var text []byte // no file means no known failures
	for _, path := range listPaths {
		if found, err := os.ReadFile(path); err == nil {
			text = found
			break
		}
	}
	for entry := range strings.SplitSeq(string(text), "\n\n") {
		for line := range strings.Lines(entry) {
			name, ok := strings.CutPrefix(line, "test:")
			if ok && strings.TrimSpace(name) == t.Name() {
				fmt.Fprintln(os.Stderr, entry)
				t.Skip(entry)
			}
		}
	}
}
