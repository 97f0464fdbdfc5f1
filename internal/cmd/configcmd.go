package cmd

import (
	"fmt"

	"github.com/laburnumridge/laburnumridge/internal/settings"
)

type configCmd struct {
	Check   *configCheckCmd   `arg:"subcommand:check" help:"check a settings file"`
	Example *configExampleCmd `arg:"subcommand:example" help:"print a settings file with every key"`
}

type configCheckCmd struct {
	File string `arg:"positional,required" help:"settings file in TOML"`
}

type configExampleCmd struct{}

func (c *configCmd) run(sys *system) int {
	switch {
	case c.Check != nil:
		if _, err := settings.Load(c.Check.File); err != nil {
			return sys.fail(err)
		}
		fmt.Fprintln(sys.stdout, "ok")
		return exitDone
	case c.Example != nil:
		fmt.Fprint(sys.stdout, settings.Example)
		return exitDone
	}
	fmt.Fprintln(sys.stderr, "error: config needs check or example")
	return exitUsage
}
