//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// Times and numbers of the case part-order.
const (
	soundInterval = 2 * time.Second
	// soundBefore and soundAfter are the numbers of sound requests that are compared; the rule needs 20 of each.
	soundBefore = 21
	soundAfter  = 22
	// settleTime is twice contact_ms, the time after the fifth crash from which the rule holds.
	settleTime = 6 * time.Second
	// badDelay is the time from a sound request to the first bad ones, and badInterval the time between two later bad ones.
	badDelay    = 500 * time.Millisecond
	badInterval = 6 * time.Second
)

func init() { cases["part-order"] = playPartOrder }

// badFirst returns the parts of a bad prompt, with the bad part before the one that sound prompts share.
func badFirst(int) string { return badPart + ":100," + sharedPart + ":200" }

// playPartOrder checks the rule LOST of letter 6: while prompts with a part that crashes servers come, sound requests with their other
// parts are served. The bad part comes before the shared one.
func playPartOrder(w *world, trouble bool) (bool, error) {
	w.store.put("op", "config", w.configuration())
	zones := []string{"cascadia-a", "cascadia-b", "cascadia-c"}
	for n := range 12 {
		if err := w.startServer(n, zones[n%3], func(s *server) { s.badPart = badPart }); err != nil {
			return false, fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	if err := w.startInstances(zones...); err != nil {
		return false, err
	}
	sound := w.startSound(soundInterval)
	sound.await(soundBefore)
	var bad sync.WaitGroup
	stop := make(chan struct{})
	if trouble {
		time.Sleep(badDelay)
		w.sendBurst(&bad)
		bad.Go(func() { w.runBad(badInterval, stop, &bad, badFirst) })
	}
	time.Sleep(settleTime)
	first := sound.sent()
	sound.await(first + soundAfter)
	sound.stop()
	close(stop)
	bad.Wait()
	before, after := w.began(sound.attempts[:soundBefore]), w.began(sound.attempts[first:first+soundAfter])
	w.record.note("sound requests that began at the first attempt: %d of %d before, %d of %d while requests with the bad part come", before, soundBefore, after, soundAfter)
	if before < soundBefore*9/10 {
		return false, fmt.Errorf("%w: sound requests fail without trouble", errNotRun)
	}
	return float64(after)/soundAfter < float64(before)/soundBefore/2, nil
}

// began returns how many of the requests a server began to run.
func (w *world) began(attempts []string) int {
	count := 0
	for _, a := range attempts {
		if len(w.record.runsOf(a)) > 0 {
			count++
		}
	}
	return count
}

// sendBurst sends one request with the bad part to each instance at the same time, no two alike.
func (w *world) sendBurst(group *sync.WaitGroup) {
	for n, i := range w.instances {
		q := prompt(fmt.Sprintf("%s%03d", burstPrefix, n), w.model(n), badFirst(n))
		group.Go(func() { w.sendNew(i, q) })
	}
}
