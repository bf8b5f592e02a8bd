// Command load generates open-loop load against entry instances and checks every answer.
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

// Exit codes. exitViolation means that an answer broke a guarantee or that the check itself failed;
// exitUsage also covers output that could not be written.
const (
	exitOK        = 0
	exitViolation = 1
	exitUsage     = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes the program and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "load", Out: stderr}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		return exitOK
	case err != nil:
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	p, err := newPlan(&a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	r := p.execute(ctx)
	if err := p.outcomes.close(); err != nil {
		fmt.Fprintln(stderr, "--outcomes:", err)
		return exitUsage
	}
	if a.JSON {
		err = r.writeJSON(stdout)
	} else {
		err = r.writeTable(stdout)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if r.hasViolations() {
		return exitViolation
	}
	return exitOK
}
