package cmd

type noteCmd struct {
	Amend   *noteAmendCmd   `arg:"subcommand:amend" help:"publish a note that amends an accepted one"`
	List    *noteListCmd    `arg:"subcommand:list" help:"list the accepted notes"`
	Plan    *notePlanCmd    `arg:"subcommand:plan" help:"show what a note would change"`
	Publish *notePublishCmd `arg:"subcommand:publish" help:"publish a note"`
	Show    *noteShowCmd    `arg:"subcommand:show" help:"show an accepted note and its items"`
}
