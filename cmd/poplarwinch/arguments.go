package main

import "runtime/debug"

// arguments are the command-line arguments.
type arguments struct {
	Serve    *serveCommand    `arg:"subcommand:serve" help:"run an entry instance"`
	Platform *platformCommand `arg:"subcommand:platform" help:"run an entry instance with the settings of its deployment platform"`
	Manifest *manifestCommand `arg:"subcommand:manifest" help:"check, commit or show a manifest"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show the status of an instance"`
	Settings *settingsCommand `arg:"subcommand:settings" help:"check a settings file"`
}

// Description returns the first line of the help text. go-arg calls it, Epilogue and Version.
func (arguments) Description() string {
	return "poplarwinch serves language-model prompts in front of model engines and plain services."
}

// Epilogue returns the last line of the help text.
func (arguments) Epilogue() string {
	return "Exit codes: 0 ok, 1 failed, 2 wrong usage, 3 conflict with another commit."
}

// Version returns the version and the VCS revision of the program.
func (arguments) Version() string {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	return "poplarwinch " + version + " revision " + revision
}

// selected returns the subcommand that the command line selects, or nil if there is none.
func (a *arguments) selected() command {
	switch {
	case a.Serve != nil:
		return a.Serve
	case a.Platform != nil:
		return a.Platform
	case a.Status != nil:
		return a.Status
	case a.Manifest != nil && a.Manifest.Check != nil:
		return a.Manifest.Check
	case a.Manifest != nil && a.Manifest.Commit != nil:
		return a.Manifest.Commit
	case a.Manifest != nil && a.Manifest.Show != nil:
		return a.Manifest.Show
	case a.Settings != nil && a.Settings.Check != nil:
		return a.Settings.Check
	}
	return nil
}
