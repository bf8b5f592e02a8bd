//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	crashingPath = "/puxa403/crash"
	// darkInterval is longer than a server is away, so that one of them is dark at a time.
	darkInterval = 4 * time.Second
)

func init() { cases["dark-crash"] = playDarkCrash }

// playDarkCrash checks the rule BUDGET for a non-idempotent request that takes down the machines of the servers that run it: they fall
// silent, and their ports are closed until they are back.
func playDarkCrash(w *world, trouble bool) (bool, error) {
	w.store.put("op", "config", w.configuration())
	zones := []string{"cascadia-a", "cascadia-b", "cascadia-c"}
	for n, zone := range zones {
		if err := w.startServer(n, zone, func(s *server) { s.service, s.events, s.badPath, s.dark = plainService, 0, crashingPath, true }); err != nil {
			return false, fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	if err := w.startInstances(zones...); err != nil {
		return false, err
	}
	var clients, bad sync.WaitGroup
	ends, stop := make(chan struct{}), make(chan struct{})
	clients.Go(func() {
		w.runClients(commitInterval, ends, &clients, func(n int) *request {
			return &request{attempt: fmt.Sprintf("%s%03d", commitPrefix, n), path: "/puxa403/licences", body: fmt.Sprintf("licence %d", n), budget: plainBudget}
		})
	})
	time.Sleep(plainWarmUp)
	if trouble {
		bad.Go(func() {
			w.runClients(darkInterval, stop, &bad, func(n int) *request {
				return &request{attempt: fmt.Sprintf("%s%03d", badPrefix, n), path: crashingPath, body: "always the same", budget: plainBudget}
			})
		})
	}
	time.Sleep(plainTrouble)
	close(stop)
	bad.Wait()
	close(ends)
	clients.Wait()
	arrivals, known := w.record.badRequestsAfter(crashesOfRequest, contactTime)
	w.record.note("times that the crashing request came and reached servers later than %s after crash %d (%t): %d; %d are allowed", contactTime, crashesOfRequest, known, arrivals, allowedArrivals)
	w.record.note("crashes: %d; sound requests without their answer: %d", w.record.crashCount(), w.record.failures(commitPrefix))
	return arrivals > allowedArrivals, nil
}
