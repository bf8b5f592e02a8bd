package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/poplarwinch/poplarwinch/emulator/objects"
	"github.com/poplarwinch/poplarwinch/emulator/roster"
	"github.com/poplarwinch/poplarwinch/emulator/table"
)

// tableCommand runs an emulated table service.
type tableCommand struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address; port 0 selects a free one"`
	Seed   uint64 `arg:"--seed" default:"1" help:"seed of random faults"`
}

func (c *tableCommand) run(ctx context.Context) error {
	s := table.New(table.WithSeed(c.Seed))
	defer s.Close()
	return serve(ctx, c.Listen, s)
}

// objectsCommand runs an emulated object store.
type objectsCommand struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address; port 0 selects a free one"`
	Seed   uint64 `arg:"--seed" default:"1" help:"seed of random faults"`
}

func (c *objectsCommand) run(ctx context.Context) error {
	s := objects.New(objects.WithSeed(c.Seed))
	defer s.Close()
	return serve(ctx, c.Listen, s)
}

// instancesCommand runs an emulated instance list.
type instancesCommand struct {
	Listen    string `arg:"--listen" default:"127.0.0.1:0" help:"address; port 0 selects a free one"`
	Endpoints string `arg:"--endpoints" help:"JSON file with the initial list, in the format of PUT /endpoints"`
	Seed      uint64 `arg:"--seed" default:"1" help:"seed of random faults"`
}

func (c *instancesCommand) run(ctx context.Context) error {
	var list []roster.Endpoint
	if c.Endpoints != "" {
		data, err := os.ReadFile(c.Endpoints)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, &list); err != nil {
			return fmt.Errorf("%s: %w", c.Endpoints, err)
		}
	}
	s := roster.New(roster.WithSeed(c.Seed), roster.WithEndpoints(list))
	defer s.Close()
	return serve(ctx, c.Listen, s)
}

// emulator is the HTTP handler of a platform emulator; its fault.Gate stalls connections if that fault is set.
type emulator interface {
	http.Handler
	Close()
}

// serve serves an emulator on address until ctx ends or the server fails.
func serve(ctx context.Context, address string, e emulator) error {
	var connState func(net.Conn, http.ConnState)
	s, err := listen(address, e, connState)
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
