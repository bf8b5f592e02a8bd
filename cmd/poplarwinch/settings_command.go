package main

// settingsCommand groups the settings subcommands.
type settingsCommand struct {
	Check *settingsCheckCommand `arg:"subcommand:check" help:"check a settings file and the files it refers to"`
}
