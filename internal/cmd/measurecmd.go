package cmd

import (
	"fmt"
	"strings"

	"github.com/laburnumridge/laburnumridge/internal/measure"
)

const (
	// allScenarios selects every scenario.
	allScenarios = "all"
	// costSlopes selects the report on how the cost of state, messages and decisions grows with their number.
	costSlopes = "slopes"
)

type measureCmd struct {
	outputOptions
	Policy   []string `arg:"--policy,separate" help:"show only this row; may be repeated"`
	Scenario string   `arg:"positional,required" help:"all, slopes, or the name of a scenario"`
	Seed     uint64   `arg:"--seed" default:"1" help:"first seed"`
	Seeds    int      `arg:"--seeds" help:"number of seeds; 1, or 5 for all"`
	User     string   `arg:"--user" default:"kelaniya" help:"kelaniya or retablo"`
}

func (c *measureCmd) run(streams *ioStreams) int {
	if c.Scenario == costSlopes {
		return c.runSlopes(streams)
	}
	names, seeds := []string{c.Scenario}, max(1, c.Seeds)
	if c.Scenario == allScenarios {
		names = measure.Scenarios()
		if c.Seeds == 0 {
			seeds = 5
		}
	}
	opts := measure.Options{Policies: c.Policy, User: c.User}
	for i := range seeds {
		opts.Seeds = append(opts.Seeds, c.Seed+uint64(i))
	}
	var reports []*measure.Report
	for _, name := range names {
		r, err := measure.Run(name, opts)
		if err != nil {
			return streams.failUsage(fmt.Errorf("%w; scenarios: all, %s; policies: %s", err,
				strings.Join(measure.Scenarios(), ", "), strings.Join(measure.Policies(), ", ")))
		}
		reports = append(reports, r)
		if !c.JSON {
			streams.printReport(r, opts)
		}
	}
	if c.JSON {
		return streams.printJSON(reports)
	}
	return exitOK
}

func (c *measureCmd) runSlopes(streams *ioStreams) int {
	slopes := measure.Slopes()
	if c.JSON {
		return streams.printJSON(slopes)
	}
	streams.printRows(measure.SlopeTable(slopes))
	return exitOK
}

func (s *ioStreams) printReport(r *measure.Report, opts measure.Options) {
	fmt.Fprintf(s.stdout, "%s (%s), user %s, seeds %d to %d, deciding figure: %s\n\n",
		r.Scenario, r.About, r.User, opts.Seeds[0], opts.Seeds[len(opts.Seeds)-1], r.Deciding)
	s.printRows(r.Table())
	fmt.Fprintln(s.stdout)
	s.printRows(r.AimTable())
	fmt.Fprintln(s.stdout)
}
