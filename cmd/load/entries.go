package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// reloadInterval is the time between reloads of the entry file.
const reloadInterval = 100 * time.Millisecond

// entries is the list of entry URLs. A list from a file is reloaded during the run.
type entries struct {
	file string
	list atomic.Pointer[[]string]
}

// newEntries returns the list of the given addresses, or that in the file if file is not empty.
func newEntries(addresses []string, file string) (*entries, error) {
	e := &entries{file: file}
	if file != "" {
		return e, e.reload()
	}
	e.set(addresses)
	return e, nil
}

func (e *entries) set(addresses []string) {
	urls := make([]string, len(addresses))
	for i, a := range addresses {
		if !strings.Contains(a, "://") {
			a = "http://" + a
		}
		urls[i] = strings.TrimRight(a, "/")
	}
	e.list.Store(&urls)
}

// reload reads the file. It returns an error and keeps the current list if the file contains no address.
func (e *entries) reload() error {
	data, err := os.ReadFile(e.file)
	if err != nil {
		return fmt.Errorf("--entry-file: %w", err)
	}
	addresses := strings.Fields(string(data))
	if len(addresses) == 0 {
		return errors.New("--entry-file: the file contains no entry address")
	}
	e.set(addresses)
	return nil
}

// loop reloads the file periodically until ctx ends. A failed reload keeps the current list.
func (e *entries) loop(ctx context.Context) {
	if e.file == "" {
		return
	}
	for sleepUntil(ctx, time.Now().Add(reloadInterval)) {
		_ = e.reload()
	}
}
