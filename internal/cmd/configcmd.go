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

func (c *configCheckCmd) run(streams *ioStreams) int {
	if _, err := settings.Load(c.File); err != nil {
		return streams.fail(err)
	}
	fmt.Fprintln(streams.stdout, "ok")
	return exitOK
}

func (*configExampleCmd) run(streams *ioStreams) int {
	fmt.Fprint(streams.stdout, settings.Example)
	return exitOK
}
