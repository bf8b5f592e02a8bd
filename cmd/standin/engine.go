package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/engine"
)

// engineCommand runs an emulated model engine.
type engineCommand struct {
	Listen        string   `arg:"--listen" default:"127.0.0.1:0" help:"address; port 0 selects a free one"`
	Models        []string `arg:"--model,separate" help:"loaded model as NAME@VERSION[+ADAPTER@VERSION...]; repeatable"`
	Role          string   `arg:"--role" default:"mixed"`
	PrefillRate   int64    `arg:"--prefill-rate" default:"40000" help:"tokens per second of prefill and decode"`
	StepMillis    int64    `arg:"--step-ms" default:"20" help:"duration of a batch step"`
	Memory        int64    `arg:"--memory" default:"400000" help:"KV memory in tokens"`
	LoadMillis    int64    `arg:"--load-ms" default:"0" help:"time to load a model after an order"`
	ChecksFencing bool     `arg:"--checks-fencing" help:"reject orders with a stale fencing number"`
	LeavingMillis int64    `arg:"--leaving-ms" default:"5000" help:"time between SIGTERM, after which the engine reports leaving, and the exit of an idle engine"`
	DrainMillis   int64    `arg:"--drain-ms" default:"60000" help:"maximum further time for running prompts to finish"`
	Record        string   `arg:"--record" help:"file to which a JSON line is appended for each started prompt"`
}

func (c *engineCommand) run(ctx context.Context) error {
	models, err := parseModels(c.Models)
	if err != nil {
		return err
	}
	journal, err := openJournal(c.Record)
	if err != nil {
		return err
	}
	opts := []engine.Option{
		engine.WithModels(models...), engine.WithRole(c.Role), engine.WithPrefillRate(c.PrefillRate),
		engine.WithStep(clock.Millis(c.StepMillis)), engine.WithMemory(poplarwinch.Tokens(c.Memory)),
		engine.WithLoadTime(clock.Millis(c.LoadMillis)),
		engine.WithOnCrash(func() { os.Exit(crashExitCode) }),
		engine.WithOnStart(func(r engine.Run) { journal.append(r) }),
	}
	if c.ChecksFencing {
		opts = append(opts, engine.WithFencingChecks())
	}
	e := engine.New(opts...)
	defer e.Close()
	s, err := listen(c.Listen, e, e.ConnState)
	if err != nil {
		return err
	}
	select {
	case err := <-s.failed:
		return err
	case <-ctx.Done():
	}
	c.leave(e)
	return s.http.Close()
}

// leave reports the engine as leaving, waits for LeavingMillis, then waits up to DrainMillis for running prompts.
func (c *engineCommand) leave(e *engine.Engine) {
	f := e.Faults()
	f.Leaving = true
	e.SetFaults(f)
	time.Sleep(clock.Millis(c.LeavingMillis).Duration())
	for end := time.Now().Add(clock.Millis(c.DrainMillis).Duration()); e.Active() > 0 && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
}

// parseModels parses models in the form NAME@VERSION[+ADAPTER@VERSION...].
func parseModels(texts []string) ([]engine.Model, error) {
	var models []engine.Model
	for _, text := range texts {
		for i, part := range strings.Split(text, "+") {
			name, version, ok := strings.Cut(part, "@")
			if !ok || name == "" || version == "" {
				return nil, fmt.Errorf("model %q: %q is not of the form NAME@VERSION", text, part)
			}
			if i == 0 {
				models = append(models, engine.Model{Name: name, Version: version})
				continue
			}
			m := &models[len(models)-1]
			m.Adapters = append(m.Adapters, engine.Adapter{Name: name, Version: version})
		}
	}
	return models, nil
}
