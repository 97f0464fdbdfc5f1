package cmd

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type jobCmd struct {
	Cancel *jobCancelCmd `arg:"subcommand:cancel" help:"cancel the tasks of a job that have not ended"`
	Status *jobStatusCmd `arg:"subcommand:status" help:"show a job and its tasks"`
	Submit *jobSubmitCmd `arg:"subcommand:submit" help:"submit a batch work"`
}

// callAndPrintJob makes a call that returns the status of a job and prints the status.
func callAndPrintJob(
	streams *ioStreams, options clientOptions, output outputOptions,
	call func(context.Context, *laburnumridge.Client) (laburnumridge.JobStatus, error),
) int {
	j, err := callEntryHost(options, call)
	switch {
	case err != nil:
		return streams.fail(err)
	case output.JSON:
		return streams.printJSON(j)
	}
	printJob(streams, j)
	return exitOK
}

func printJob(streams *ioStreams, j laburnumridge.JobStatus) {
	fmt.Fprintf(streams.stdout, "job %s, work %s, zone %s, shard %s: %s\n",
		j.ID, j.Work, orDash(j.Zone), orDash(j.Shard), j.Phase)
	if j.ParkedReason != "" {
		fmt.Fprintln(streams.stdout, "parked because:", j.ParkedReason)
	}
	var parts []string
	for _, n := range []struct {
		phase laburnumridge.Phase
		count int
	}{
		{laburnumridge.PhaseQueued, j.Counts.Queued},
		{laburnumridge.PhaseBound, j.Counts.Bound},
		{laburnumridge.PhaseRunning, j.Counts.Running},
		{laburnumridge.PhaseDone, j.Counts.Done},
		{laburnumridge.PhaseFailed, j.Counts.Failed},
		{laburnumridge.PhaseCancelled, j.Counts.Cancelled},
		{laburnumridge.PhaseParked, j.Counts.Parked},
	} {
		if n.count > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n.count, n.phase))
		}
	}
	if len(parts) > 0 {
		fmt.Fprintln(streams.stdout, "tasks:", strings.Join(parts, ", "))
	}
	var rows [][]string
	for _, t := range j.Tasks {
		rows = append(rows, []string{t.ID, string(t.Phase), orDash(t.Worker), strconv.Itoa(t.Attempt)})
	}
	streams.printTable("TASK PHASE WORKER ATTEMPT", rows)
}
