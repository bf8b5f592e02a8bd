package main

import (
	"context"
	"fmt"
	"io"

	"github.com/poplarwinch/poplarwinch/manifest"
)

// manifestCheckCommand validates a manifest file without contacting an instance.
type manifestCheckCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"manifest file"`
}

func (c *manifestCheckCommand) run(_ context.Context, stdout, _ io.Writer) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	m, err := manifest.Parse(data)
	if err != nil {
		return err
	}
	x, err := manifest.Compile(0, m)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%s is valid: service %s, %d models, %d customers, digest %s\n",
		c.File, m.Service, len(m.Models), len(m.Customers), x.Digest)
	return nil
}
