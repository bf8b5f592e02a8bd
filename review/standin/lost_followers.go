//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// settledAfter is the time after the start until all instances know each other.
	settledAfter = 8 * time.Second
	// applyTime is config_apply_ms, and watchTime the time after the change for which the survivor is watched.
	applyTime = 2 * time.Second
	watchTime = 5 * time.Second
	// askInterval is the time between two requests with the key that was taken away.
	askInterval = 50 * time.Millisecond
	// loadInterval is the time between two sound requests; the rate is that of the sheet.
	loadInterval = 30 * time.Millisecond
	// survivor is the instance of its zone that doesn't read the store itself. Which one that is follows from the hashes of the names.
	survivor = "edge-cascadia-a-2"
)

func init() { cases["lost-followers"] = playLostFollowers }

// playLostFollowers checks the rule CONFIG: all machines but one lose power, and right after that a key is taken away. The machine that is left
// is in touch all the while.
func playLostFollowers(w *world, trouble bool) (bool, error) {
	w.keys = []string{apiKey, revokedKey}
	w.store.put("op", "config", w.configuration())
	for n, zone := range []string{"cascadia-a", "cascadia-b", "cascadia-c"} {
		if err := w.startServer(n, zone, func(s *server) { s.service, s.events = plainService, 0 }); err != nil {
			return false, fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	if err := w.startInstances("cascadia-a", "cascadia-a", "cascadia-a", "cascadia-b", "cascadia-b", "cascadia-c"); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	ends := make(chan struct{})
	clients.Go(func() {
		w.runClients(loadInterval, ends, &clients, func(n int) *request {
			return &request{attempt: fmt.Sprintf("%s%03d", soundPrefix, n), method: http.MethodGet, path: "/cufi504/history", budget: plainBudget}
		})
	})
	time.Sleep(settledAfter)
	left := w.instances[0]
	for _, i := range w.instances {
		if i.name == survivor {
			left = i
		}
	}
	if trouble {
		for _, i := range w.instances {
			if i != left {
				go i.kill()
			}
		}
		w.record.note("all machines but %s lose power", left.name)
	}
	close(ends)
	w.keys, w.version = []string{apiKey}, w.version+1
	w.store.put("op", "config", w.configuration())
	ack := time.Now()
	w.record.note("the store acknowledges version %d, without key %s", w.version, revokedKey)
	ran := 0
	for n := 0; time.Since(ack) < watchTime; n++ {
		q := &request{attempt: fmt.Sprintf("%s%03d", badPrefix, n), method: http.MethodGet, path: "/cufi504/history", key: revokedKey, budget: plainBudget}
		sent := time.Since(ack)
		w.sendNew(left, q)
		if sent > applyTime && len(w.record.runsOf(q.attempt)) > 0 {
			ran++
		}
		time.Sleep(askInterval)
	}
	clients.Wait()
	w.record.note("requests with the key, sent to %s later than %s after the acknowledgement, that servers ran: %d", left.name, applyTime, ran)
	return ran > 0, nil
}
