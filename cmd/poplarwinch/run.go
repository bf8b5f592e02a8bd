package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	logjson "github.com/apex/log/handlers/json"

	"github.com/poplarwinch/poplarwinch/instance"
	"github.com/poplarwinch/poplarwinch/settings"
)

// run runs an entry instance until ctx ends, then shuts it down gracefully.
func run(ctx context.Context, s *settings.Settings, stderr io.Writer) error {
	level, err := log.ParseLevel(s.Log.Level)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	logger := &log.Logger{Handler: logjson.New(stderr), Level: level}
	i, err := instance.New(s, instance.WithVersion(arguments{}.Version()), instance.WithLog(logger))
	if err != nil {
		return fmt.Errorf("start the instance: %w", err)
	}
	// The first signal starts the graceful shutdown; a second one terminates the process immediately.
	stop := context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt, syscall.SIGTERM) })
	defer stop()
	return i.Run(ctx)
}
