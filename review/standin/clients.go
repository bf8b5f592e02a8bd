//go:build review

package main

import (
	"sync"
	"time"
)

// Times of the cases about requests that crash plain servers.
const (
	// commitInterval is the time between two sound non-idempotent requests.
	commitInterval = 100 * time.Millisecond
	plainWarmUp    = 10 * time.Second
	plainTrouble   = 45 * time.Second
	// crashesOfRequest is the number of crashes after which the rule BUDGET counts.
	crashesOfRequest = 3
)

// runClients sends requests at an interval until stop, each to another instance.
func (w *world) runClients(interval time.Duration, stop <-chan struct{}, group *sync.WaitGroup, next func(n int) *request) {
	for n := 0; ; n++ {
		q := next(n)
		group.Go(func() { w.sendNew(w.instances[n%len(w.instances)], q) })
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
	}
}
