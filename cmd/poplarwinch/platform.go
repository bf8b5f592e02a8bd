package main

import (
	"context"
	"io"
	"os"

	"github.com/poplarwinch/poplarwinch/platform"
)

// platformCommand runs an entry instance with the settings of its deployment platform.
type platformCommand struct{}

func (*platformCommand) run(ctx context.Context, _, _ io.Writer) error {
	return platform.Run(ctx, os.Stdout)
}
