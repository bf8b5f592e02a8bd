package main

// settingsCommand groups the commands about settings.
type settingsCommand struct {
	Check *settingsCheckCommand `arg:"subcommand:check" help:"check a settings file and the files it refers to"`
}
