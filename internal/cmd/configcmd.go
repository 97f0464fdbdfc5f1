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

func (c *configCheckCmd) run(sys *system) int {
	if _, err := settings.Load(c.File); err != nil {
		return sys.fail(err)
	}
	fmt.Fprintln(sys.stdout, "ok")
	return exitDone
}

func (*configExampleCmd) run(sys *system) int {
	fmt.Fprint(sys.stdout, settings.Example)
	return exitDone
}
