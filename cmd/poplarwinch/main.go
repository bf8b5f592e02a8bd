// Command poplarwinch runs an entry instance and the commands for its operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// execute parses the command line, runs the selected subcommand and returns the exit code.
func execute(ctx context.Context, argv []string, stdout, stderr io.Writer) int {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: "poplarwinch", Out: stderr}, &args)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	err = parser.Parse(argv)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return exitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(stdout, args.Version())
		return exitOK
	}
	c := args.selected()
	if err == nil && c == nil {
		err = errors.New("a subcommand is missing")
	}
	if err != nil {
		_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		fmt.Fprintf(stderr, "error: %v; use --help to see the commands and options\n", err)
		return exitUsage
	}
	return report(c.run(ctx, stdout, stderr), stderr)
}
