package claim_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/poplarwinch/poplarwinch/claim"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/memory"
)

// TestPendingIsBounded guards against uncertain claims that exhaust an instance's memory in a long outage of the table,
// or that remain pending after it.
func TestPendingIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 10_000
		sim := newSimulation(scenario{pauses: make([]memory.Outage, 1), crashes: make([]clock.Millis, 1)})
		dropped := slices.Repeat([]memory.Effect{{Kind: memory.Dropped}}, 10*limit)
		sim.platform = memory.New(memory.WithEffects(dropped, clock.Minute))
		l := sim.ledger(0)
		ctx, cancel := context.WithCancel(context.Background())
		var calls, loop sync.WaitGroup
		begin := func(n int) {
			ticket, _, err := l.Begin(ctx, claim.Call{
				Customer: "customer", Key: fmt.Sprint(n), Fingerprint: "same", Deadline: sim.clock.Now() + timeLimit,
			})
			if ticket != nil || err == nil {
				t.Errorf("call %d got a ticket during the outage", n)
			}
		}
		for n := range limit {
			calls.Go(func() { begin(n) })
		}
		calls.Wait()
		before := sim.platform.Now()
		begin(limit)
		if n := l.Pending(); n != limit || sim.platform.Now() != before {
			t.Errorf("%d pending after %d ms, want %d and a rejection without a table call", n, sim.platform.Now()-before, limit)
		}
		loop.Go(func() { _ = l.Run(ctx) })
		if err := sim.clock.Sleep(ctx, 5*clock.Minute); err != nil {
			t.Fatal(err)
		}
		if n := l.Pending(); n != 0 {
			t.Errorf("%d pending four minutes after the outage, want none", n)
		}
		cancel()
		loop.Wait()
	})
}

// TestRestoreDuringCall guards against a repeat that runs a call again because a restore of the table removed the claim
// row while the call was running.
func TestRestoreDuringCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(scenario{pauses: make([]memory.Outage, 1), crashes: make([]clock.Millis, 1)})
		l, ctx := sim.ledger(0), context.Background()
		ticket, _, err := l.Begin(ctx, sim.call(0))
		if err != nil {
			t.Fatal(err)
		}
		sim.platform.Restore(clock.Second)
		if err := ticket.Done(ctx, claim.Answer{Status: 201}); err != nil {
			t.Fatal(err)
		}
		if _, recorded, err := l.Begin(ctx, sim.call(0)); err != nil || recorded == nil || recorded.Answer.Status != 201 {
			t.Fatalf("Begin() = %v, %v; want the recorded answer", recorded, err)
		}
	})
}
