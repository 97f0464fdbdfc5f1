// Command laburnumridge schedules latency-critical services and batch work on the same workers.
package main

import (
	"os"

	"github.com/laburnumridge/laburnumridge/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
