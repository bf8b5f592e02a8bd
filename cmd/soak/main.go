// Command soak runs instances of the platform's role as separate processes, injects a seeded series of faults from outside, and checks
// what callers and servers see.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

// Exit codes.
const (
	exitOK        = 0
	exitViolation = 1
	exitUsage     = 2
)

// arguments are the command line.
type arguments struct {
	Binary    string `arg:"--binary" default:"bin/poplarwinch" help:"program of the instances"`
	Seed      uint64 `arg:"--seed" default:"1" help:"seed of the series of faults"`
	Seconds   int    `arg:"--seconds" default:"20" help:"length of the series of faults, in seconds"`
	Instances int    `arg:"--instances" default:"6" help:"number of instances"`
	Keep      bool   `arg:"--keep" help:"keep the logs of a run without a violation"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, &a)
	stop()
	os.Exit(code)
}

// run plays one soak and returns the exit code.
func run(ctx context.Context, a *arguments) int {
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	d, err := newDeployment(a, directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	defer d.close()
	if err := d.awaitReady(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err, "logs:", directory)
		return exitViolation
	}
	operating, endOperating := context.WithCancel(ctx)
	defer endOperating()
	go d.runCopies(operating)
	go d.runStatus(operating)
	go d.runOperator(operating, rand.New(rand.NewPCG(a.Seed, 3)))
	c := startCallers(ctx, d, a.Seed)
	newSeries(d, a.Seed).run(ctx, time.Duration(a.Seconds)*time.Second)
	d.endFaults()
	c.awaitRecovery(ctx)
	c.stop()
	violations := check(c.results(), d.evidence())
	for _, v := range violations {
		fmt.Println(v)
	}
	fmt.Printf("seed %d: %s; %d faults; %d violations\n", a.Seed, summarize(c.results()), len(d.evidence().events), len(violations))
	if len(violations) > 0 {
		fmt.Println("logs:", directory)
		return exitViolation
	}
	if !a.Keep {
		_ = os.RemoveAll(directory)
	}
	return exitOK
}
