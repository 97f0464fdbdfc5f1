package cmd

import (
	"fmt"
	"io"
)

// system is what the commands share: where they print.
type system struct {
	stderr io.Writer
	stdout io.Writer
}

// fail prints an error and returns the exit code of a refused command.
func (s *system) fail(err error) int {
	fmt.Fprintln(s.stderr, "error:", err)
	return exitRefused
}
