// Command standin runs emulators of the systems that an entry instance depends on: model engines, plain services,
// the table service, the object store and the instance list.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// arguments are the command-line arguments.
type arguments struct {
	Engine  *engineCommand  `arg:"subcommand:engine" help:"emulate a model engine"`
	Engines *enginesCommand `arg:"subcommand:engines" help:"emulate several model engines in one process"`
	Service *serviceCommand `arg:"subcommand:service" help:"emulate a plain service"`

	Ports     *portsCommand     `arg:"subcommand:ports" help:"print free loopback ports"`
	Table     *tableCommand     `arg:"subcommand:table" help:"emulate the table service"`
	Objects   *objectsCommand   `arg:"subcommand:objects" help:"emulate the object store"`
	Instances *instancesCommand `arg:"subcommand:instances" help:"emulate the instance list"`
}

// command is a subcommand. Emulators run until ctx ends.
type command interface {
	run(ctx context.Context) error
}

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	c, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("a subcommand is required")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := c.run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
