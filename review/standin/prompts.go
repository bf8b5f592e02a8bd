//go:build review

package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Parts of prompts.
const (
	// badPart crashes servers, and sharedPart is one that sound prompts share.
	badPart    = "bad0bad0"
	sharedPart = "5c1e07a2"
	// ownTokens is the size of a prompt's own part.
	ownTokens = 4800
)

// prompt returns a request to the model for a prompt with the parts and one of its own at the end.
func prompt(attempt, model, parts string) *request {
	parts += fmt.Sprintf(",%x:%d", attempt, ownTokens)
	total := 0
	for _, part := range strings.Split(parts, ",") {
		_, text, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(text) // the parts are those of this program
		total += tokens
	}
	return &request{
		attempt: attempt, path: "/lohu930/2f", model: model, parts: parts, tokens: fmt.Sprintf("%d,400", total), body: "prompt of " + attempt, budget: 10 * time.Second,
	}
}

// model returns the model of a client's request, by its number.
func (w *world) model(n int) string { return w.models[n%len(w.models)] }

// soundClients send sound requests at a constant rate.
type soundClients struct {
	mutex    sync.Mutex
	attempts []string
	group    sync.WaitGroup
	ends     chan struct{}
}

// startSound sends sound requests to the instances in turn, at an interval, until stop.
func (w *world) startSound(interval time.Duration) *soundClients {
	s := &soundClients{ends: make(chan struct{})}
	s.group.Go(func() {
		for n := 0; ; n++ {
			q := prompt(fmt.Sprintf("%s%03d", soundPrefix, n), w.model(n), sharedPart+":200")
			s.mutex.Lock()
			s.attempts = append(s.attempts, q.attempt)
			s.mutex.Unlock()
			s.group.Go(func() { w.sendNew(w.instances[n%len(w.instances)], q) })
			select {
			case <-s.ends:
				return
			case <-time.After(interval):
			}
		}
	})
	return s
}

// sent returns the number of requests so far.
func (s *soundClients) sent() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.attempts)
}

// await waits until a number of requests were sent.
func (s *soundClients) await(count int) {
	for s.sent() < count {
		time.Sleep(5 * time.Millisecond)
	}
}

// stop ends the requests and waits for their answers.
func (s *soundClients) stop() {
	close(s.ends)
	s.group.Wait()
}

// runBad sends requests with the bad part at an interval, each to another instance. parts returns the parts before the own one.
func (w *world) runBad(interval time.Duration, stop <-chan struct{}, group *sync.WaitGroup, parts func(n int) string) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		q := prompt(fmt.Sprintf("%s%03d", badPrefix, n), w.model(n), parts(n))
		group.Go(func() { w.sendNew(w.instances[n%len(w.instances)], q) })
	}
}
