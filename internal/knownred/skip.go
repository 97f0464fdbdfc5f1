package knownred

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// listPath is relative to the directories of packages directly below internal, since go test runs a test in the
// directory of its package.
const listPath = "../../KNOWN-RED.txt"

// Skip skips t if an entry of KNOWN-RED.txt has the line "test: NAME" with its name, and prints the entry. Entries are
// separated by empty lines.
func Skip(t testing.TB) {
	t.Helper()
	text, err := os.ReadFile(listPath)
	if err != nil {
		return // no file means no known failures
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
