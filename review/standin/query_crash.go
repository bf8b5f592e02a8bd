//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times and names of the case query-crash.
const (
	crashingQuery = "photo=666"
	// lookupInterval is the time between two sound lookups, and crashInterval the time between two crashing ones.
	lookupInterval = 200 * time.Millisecond
	crashInterval  = 4 * time.Second
)

func init() { cases["query-crash"] = playQueryCrash }

// playQueryCrash checks the rule BUDGET for a request that crashes the servers that run it, beside sound ones of the same caller with the
// same path and another query.
func playQueryCrash(w *world, trouble bool) (bool, error) {
	w.store.put("op", "config", w.configuration())
	zones := []string{"cascadia-a", "cascadia-b", "cascadia-c"}
	for n, zone := range zones {
		if err := w.startServer(n, zone, func(s *server) { s.service, s.events, s.badQuery = plainService, 0, crashingQuery }); err != nil {
			return false, fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	if err := w.startInstances(zones...); err != nil {
		return false, err
	}
	var clients, bad sync.WaitGroup
	ends, stop := make(chan struct{}), make(chan struct{})
	clients.Go(func() {
		w.runClients(lookupInterval, ends, &clients, func(n int) *request {
			return &request{attempt: fmt.Sprintf("%s%03d", soundPrefix, n), method: http.MethodGet, path: fmt.Sprintf("/cufi504/history?photo=%d", n%20), budget: plainBudget}
		})
	})
	clients.Go(func() {
		w.runClients(commitInterval, ends, &clients, func(n int) *request {
			return &request{attempt: fmt.Sprintf("%s%03d", commitPrefix, n), path: "/puxa403/licences", body: fmt.Sprintf("licence %d", n), budget: plainBudget}
		})
	})
	time.Sleep(plainWarmUp)
	if trouble {
		bad.Go(func() {
			w.runClients(crashInterval, stop, &bad, func(n int) *request {
				return &request{attempt: fmt.Sprintf("%s%03d", badPrefix, n), method: http.MethodGet, path: "/cufi504/history?" + crashingQuery, budget: plainBudget}
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
	w.record.note("crashes: %d; sound requests without their answer: %d lookups, %d commits", w.record.crashCount(), w.record.failures(soundPrefix), w.record.failures(commitPrefix))
	return arrivals > allowedArrivals, nil
}
