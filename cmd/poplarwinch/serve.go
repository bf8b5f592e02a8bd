package main

import (
	"context"
	"io"

	"github.com/poplarwinch/poplarwinch/settings"
)

// serveCommand runs an entry instance with the settings of a file.
type serveCommand struct {
	File string `arg:"positional,required" placeholder:"SETTINGS" help:"settings file of the instance"`
}

func (c *serveCommand) run(ctx context.Context, _, stderr io.Writer) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	return run(ctx, s, stderr)
}
