package claim_test

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/poplarwinch/poplarwinch/claim"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/memory"
)

// simulation runs ledgers on an emulated table and records sends and violations. It runs inside a synctest bubble, so
// its time is virtual.
type simulation struct {
	scenario scenario
	platform *memory.Platform
	clock    *clock.Clock

	mutex      sync.Mutex
	sends      map[string][]string
	violations []string
}

func newSimulation(s scenario) *simulation {
	return &simulation{
		scenario: s, clock: clock.System(), sends: map[string][]string{},
		platform: memory.New(memory.WithLatency(s.latency), memory.WithEffects(s.effects, faultsEnd/2), memory.WithOutages(s.outages...)),
	}
}

func (s *simulation) recordViolation(text string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violations = append(s.violations, text)
}

// applyFaults blocks while the instance is paused and ends the goroutine if the instance has crashed.
func (s *simulation) applyFaults(instance int) {
	now := s.platform.Now()
	if p := s.scenario.pauses[instance]; now >= p.From && now < p.To {
		time.Sleep((p.To - now).Duration())
	}
	if crash := s.scenario.crashes[instance]; crash > 0 && s.platform.Now() >= crash {
		runtime.Goexit()
	}
}

func (s *simulation) ledger(instance int, opts ...claim.Option) *claim.Ledger {
	c := s.platform.Client(func() { s.applyFaults(instance) })
	return claim.New(append([]claim.Option{
		claim.WithTable(c.Get, c.Put), claim.WithObjects(c.GetObject, c.PutObject),
		claim.WithLog(&log.Logger{Handler: discard.Default}),
		claim.WithTimeLimit(func() clock.Millis { return timeLimit }),
		claim.WithViolation(func(err error) { s.recordViolation("invariant: " + err.Error()) }),
	}, opts...)...)
}

func (s *simulation) call(key int) claim.Call {
	return claim.Call{
		Customer: "customer", Key: fmt.Sprint("key-", key), Fingerprint: "same", Deadline: s.clock.Now() + timeLimit,
	}
}
