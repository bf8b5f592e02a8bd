package main

import (
	"context"
	"io"
)

// command is a subcommand that the command line can select.
type command interface {
	run(ctx context.Context, stdout, stderr io.Writer) error
}
