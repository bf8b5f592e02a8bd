package main

import (
	"context"
	"io"
	"os"

	"github.com/poplarwinch/poplarwinch/platform"
)

// platformCommand runs an entry instance on the users' platform. Its settings come from the platform.
type platformCommand struct{}

func (*platformCommand) run(ctx context.Context, _, _ io.Writer) error {
	return platform.Run(ctx, os.Stdout)
}
