package main

// manifestCommand groups the manifest subcommands.
type manifestCommand struct {
	Check  *manifestCheckCommand  `arg:"subcommand:check" help:"check a manifest file"`
	Commit *manifestCommitCommand `arg:"subcommand:commit" help:"make a manifest the current one"`
	Show   *manifestShowCommand   `arg:"subcommand:show" help:"show the active manifest with its version and digest"`
}
