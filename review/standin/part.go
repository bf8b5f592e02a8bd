//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// Times and numbers of the cases about a part of prompts that crashes servers.
const (
	fastSoundInterval = 200 * time.Millisecond
	fastBadInterval   = time.Second
	// contactTime is contact_ms, the time after the fifth crash from which the rule holds.
	contactTime = 3 * time.Second
	// crashesToLearn and allowedArrivals are the figures of the rule.
	crashesToLearn  = 5
	allowedArrivals = 3
	partWarmUp      = 15 * time.Second
	partTrouble     = 45 * time.Second
)

// playPart sends sound prompts and, with trouble, bad ones, and counts those that reach servers after the rule's time.
func (w *world) playPart(trouble bool, parts func(n int) string) (bool, error) {
	w.store.put("op", "config", w.configuration())
	zones := []string{"cascadia-a", "cascadia-b", "cascadia-c"}
	for n := range 12 {
		if err := w.startServer(n, zones[n%3], func(s *server) { s.events, s.badPart = 38, badPart }); err != nil {
			return false, fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	if err := w.startInstances(zones...); err != nil {
		return false, err
	}
	sound := w.startSound(fastSoundInterval)
	time.Sleep(partWarmUp)
	before := w.record.failures(soundPrefix)
	var bad sync.WaitGroup
	stop := make(chan struct{})
	if trouble {
		bad.Go(func() { w.runBad(fastBadInterval, stop, &bad, parts) })
	}
	time.Sleep(partTrouble)
	close(stop)
	bad.Wait()
	sound.stop()
	arrivals, known := w.record.badRequestsAfter(crashesToLearn, contactTime)
	w.record.note("requests with the bad part that reached servers later than %s after crash %d (%t): %d; %d are allowed", contactTime, crashesToLearn, known, arrivals, allowedArrivals)
	w.record.note("crashes: %d; sound requests without a complete answer: %d before the first bad one, %d since", w.record.crashCount(), before, w.record.failures(soundPrefix)-before)
	return arrivals > allowedArrivals, nil
}
