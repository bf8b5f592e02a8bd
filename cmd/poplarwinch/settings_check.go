package main

import (
	"context"
	"fmt"
	"io"

	"github.com/poplarwinch/poplarwinch/settings"
)

// settingsCheckCommand validates a settings file in the way an instance does at startup.
type settingsCheckCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"settings file"`
}

func (c *settingsCheckCommand) run(_ context.Context, stdout, _ io.Writer) error {
	if err := settings.Check(c.File); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%s is valid\n", c.File)
	return nil
}
