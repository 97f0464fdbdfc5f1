package knownred

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// listPath is seen from the folder of any package below internal.
const listPath = "../../KNOWN-RED.txt"

// Skip skips a test that an entry of KNOWN-RED.txt names in a line "test: NAME", and prints the entry.
func Skip(t testing.TB) {
	t.Helper()
	text, err := os.ReadFile(listPath)
	if err != nil {
		return // without the file no test is known to fail
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
