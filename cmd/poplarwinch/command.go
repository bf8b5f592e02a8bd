package main

import (
	"context"
	"io"
)

// command is a subcommand.
type command interface {
	run(ctx context.Context, stdout, stderr io.Writer) error
}
