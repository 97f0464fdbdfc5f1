package cmd

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

type statusCmd struct {
	clientOptions
	outputOptions
	AllWorkers bool `arg:"--workers" help:"list all workers, not only those that are quarantined or leaving"`
}

func (c *statusCmd) run(streams *ioStreams) int {
	s, err := callEntryHost(c.clientOptions, func(ctx context.Context, client *laburnumridge.Client) (laburnumridge.Status, error) {
		return client.Status(ctx)
	})
	switch {
	case err != nil:
		return streams.fail(err)
	case c.JSON:
		return streams.printJSON(s)
	}
	streams.printTable("ZONE ENTRY_HOSTS WORKERS REACHABLE", zoneRows(s.Zones))
	streams.printTable("HOST ZONE REVISION DRAINING REACHABLE", hostRows(s.Hosts))
	streams.printTable("SHARD OWNER EPOCH", shardRows(s.Shards))
	streams.printTable("WORK KIND ZONE REPLICAS RUNNING WAITING", workRows(s.Works))
	streams.printTable("TEAM ZONE USED QUOTA", teamRows(s.Teams))
	streams.printTable("WORKER ZONE RESERVED CAPACITY STATE", workerRows(s.Workers, c.AllWorkers))
	if len(s.Unreachable) > 0 {
		fmt.Fprintln(streams.stdout, "could not be asked:", strings.Join(s.Unreachable, ", "))
	}
	return exitOK
}

func hostRows(hosts []laburnumridge.HostStatus) (rows [][]string) {
	for _, h := range hosts {
		rows = append(rows, []string{
			h.ID, h.Zone, strconv.FormatInt(h.Revision, 10), yesNo(h.Draining), yesNo(h.Reachable),
		})
	}
	return rows
}

func shardRows(shards []laburnumridge.ShardStatus) (rows [][]string) {
	for _, s := range shards {
		rows = append(rows, []string{s.Shard, orDash(s.Owner), strconv.FormatInt(s.Epoch, 10)})
	}
	return rows
}

func teamRows(teams []laburnumridge.TeamStatus) (rows [][]string) {
	for _, t := range teams {
		rows = append(rows, []string{t.Team, t.Zone, orDash(t.Used.String()), orDash(t.Quota.String())})
	}
	return rows
}

func workRows(works []laburnumridge.WorkStatus) (rows [][]string) {
	for _, w := range works {
		replicas := "-"
		if w.Replicas > 0 {
			replicas = strconv.Itoa(w.Replicas)
		}
		rows = append(rows, []string{w.Work, w.Kind, w.Zone, replicas, strconv.Itoa(w.Running), strconv.Itoa(w.Waiting)})
	}
	return rows
}

// workerRows returns the rows of the workers that are quarantined or leaving, or of all workers.
func workerRows(workers []laburnumridge.WorkerStatus, all bool) (rows [][]string) {
	for _, w := range workers {
		state := "ok"
		switch {
		case w.Quarantined:
			state = "quarantined"
		case w.Leaving:
			state = "leaving"
		case !all:
			continue
		}
		if w.Reason != "" {
			state += ": " + w.Reason
		}
		rows = append(rows, []string{w.ID, w.Zone, orDash(w.Reserved.String()), w.Capacity.String(), state})
	}
	return rows
}

func zoneRows(zones []laburnumridge.ZoneStatus) (rows [][]string) {
	for _, z := range zones {
		rows = append(rows, []string{z.Name, strconv.Itoa(z.EntryHosts), strconv.Itoa(z.Workers), yesNo(z.Reachable)})
	}
	return rows
}
