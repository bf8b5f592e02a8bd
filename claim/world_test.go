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

// world holds what the checker knows. It runs inside a synctest bubble, so its time is virtual.
type world struct {
	scenario scenario
	platform *memory.Platform
	clock    *clock.Clock

	mutex      sync.Mutex
	sends      map[string][]string
	violations []string
}

func newWorld(s scenario) *world {
	return &world{
		scenario: s, clock: clock.System(), sends: map[string][]string{},
		platform: memory.New(memory.WithLatency(s.latency), memory.WithEffects(s.effects, quiet/2), memory.WithOutages(s.outages...)),
	}
}

func (w *world) violate(text string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.violations = append(w.violations, text)
}

// pass holds up an instance that is paused and ends the goroutine of one that is dead.
func (w *world) pass(instance int) {
	now := w.platform.Now()
	if p := w.scenario.pauses[instance]; now >= p.From && now < p.To {
		time.Sleep((p.To - now).Duration())
	}
	if death := w.scenario.deaths[instance]; death > 0 && w.platform.Now() >= death {
		runtime.Goexit()
	}
}

func (w *world) ledger(instance int, opts ...claim.Option) *claim.Ledger {
	c := w.platform.Client(func() { w.pass(instance) })
	return claim.New(append([]claim.Option{
		claim.WithTable(c.Get, c.Put), claim.WithObjects(c.GetObject, c.PutObject),
		claim.WithLog(&log.Logger{Handler: discard.Default}),
		claim.WithTimeLimit(func() clock.Millis { return timeLimit }),
		claim.WithViolation(func(err error) { w.violate("invariant: " + err.Error()) }),
	}, opts...)...)
}

func (w *world) call(key int) claim.Call {
	return claim.Call{
		Customer: "customer", Key: fmt.Sprint("key-", key), Fingerprint: "same", Deadline: w.clock.Now() + timeLimit,
	}
}
