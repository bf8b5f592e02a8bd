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

// reloadInterval is the time between two reads of the file of entry addresses.
const reloadInterval = 100 * time.Millisecond

// entries is the list of entry URLs, which a file may change while the load runs.
type entries struct {
	file string
	list atomic.Pointer[[]string]
}

// newEntries returns the list of the given addresses, or that of the file if it has a name.
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

// reload reads the file; a list without an address is not accepted.
func (e *entries) reload() error {
	data, err := os.ReadFile(e.file)
	if err != nil {
		return fmt.Errorf("--entry-file: %w", err)
	}
	addresses := strings.Fields(string(data))
	if len(addresses) == 0 {
		return errors.New("--entry-file: the file holds no address")
	}
	e.set(addresses)
	return nil
}

// loop reads the file again and again until ctx ends. A failed read keeps the last list.
func (e *entries) loop(ctx context.Context) {
	if e.file == "" {
		return
	}
	for sleepUntil(ctx, time.Now().Add(reloadInterval)) {
		_ = e.reload()
	}
}
