package main

import (
	"context"
	"os"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/service"
)

// serviceCommand runs an emulated plain service.
type serviceCommand struct {
	Listen         string `arg:"--listen" default:"127.0.0.1:0" help:"address; port 0 selects a free one"`
	DurationMillis int64  `arg:"--duration-ms" default:"0" help:"time that the execution of a call takes"`
	Record         string `arg:"--record" help:"file to which a JSON line is appended for each execution before its answer"`
}

func (c *serviceCommand) run(ctx context.Context) error {
	journal, err := openJournal(c.Record)
	if err != nil {
		return err
	}
	e := service.New(
		service.WithDuration(clock.Millis(c.DurationMillis)),
		service.WithOnCrash(func() { os.Exit(crashExitCode) }),
		service.WithOnExecution(func(x service.Execution) { journal.append(x) }),
	)
	defer e.Close()
	s, err := listen(c.Listen, e, e.ConnState)
	if err != nil {
		return err
	}
	select {
	case err := <-s.failed:
		return err
	case <-ctx.Done():
		return s.http.Close()
	}
}
