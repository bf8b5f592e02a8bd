package main

import (
	"context"

	"github.com/poplarwinch/poplarwinch/emulator/engine"
)

// enginesCommand runs several emulated engines in one process, for measurements that need many engines.
type enginesCommand struct {
	Count  int      `arg:"--count,required" help:"number of engines, each with an address of its own"`
	Models []string `arg:"--model,separate" help:"loaded model as NAME@VERSION[+ADAPTER@VERSION...]; repeatable"`
}

func (c *enginesCommand) run(ctx context.Context) error {
	models, err := parseModels(c.Models)
	if err != nil {
		return err
	}
	for range c.Count {
		e := engine.New(engine.WithModels(models...))
		defer e.Close()
		s, err := listen("127.0.0.1:0", e, e.ConnState)
		if err != nil {
			return err
		}
		defer s.http.Close()
	}
	<-ctx.Done()
	return nil
}
