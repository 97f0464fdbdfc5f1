package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// ioStreams holds the output streams of a command.
type ioStreams struct {
	stderr io.Writer
	stdout io.Writer
}

// fail prints err and returns exitFailure.
func (s *ioStreams) fail(err error) int {
	fmt.Fprintln(s.stderr, "error:", err)
	return exitFailure
}

// failUsage prints an error in the arguments and returns exitUsage.
func (s *ioStreams) failUsage(err error) int {
	fmt.Fprintln(s.stderr, "error:", err)
	return exitUsage
}

// printJSON prints v as indented JSON and returns the exit code.
func (s *ioStreams) printJSON(v any) int {
	enc := json.NewEncoder(s.stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return s.fail(err)
	}
	return exitOK
}

// printRows prints rows with aligned columns and without trailing spaces.
func (s *ioStreams) printRows(rows [][]string) {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
	for line := range strings.Lines(text.String()) {
		fmt.Fprintln(s.stdout, strings.TrimRight(line, " \n"))
	}
}

// printTable prints rows below a heading whose column names are separated by spaces. It prints nothing if there are no
// rows.
func (s *ioStreams) printTable(heading string, rows [][]string) {
	if len(rows) > 0 {
		s.printRows(append([][]string{strings.Fields(heading)}, rows...))
	}
}
