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

// Uncertain claims of a long outage must neither fill the memory of an instance nor stay behind after the outage.
func TestPendingIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 10_000
		w := newWorld(scenario{pauses: make([]memory.Outage, 1), deaths: make([]clock.Millis, 1)})
		dropped := slices.Repeat([]memory.Effect{{Kind: memory.Dropped}}, 10*limit)
		w.platform = memory.New(memory.WithEffects(dropped, clock.Minute))
		l := w.ledger(0)
		ctx, cancel := context.WithCancel(context.Background())
		var calls, loop sync.WaitGroup
		begin := func(n int) {
			ticket, _, err := l.Begin(ctx, claim.Call{
				Customer: "customer", Key: fmt.Sprint(n), Fingerprint: "same", Deadline: w.clock.Now() + timeLimit,
			})
			if ticket != nil || err == nil {
				t.Errorf("call %d got a ticket during the outage", n)
			}
		}
		for n := range limit {
			calls.Go(func() { begin(n) })
		}
		calls.Wait()
		before := w.platform.Now()
		begin(limit)
		if n := l.Pending(); n != limit || w.platform.Now() != before {
			t.Errorf("%d pending after %d ms, want %d and a rejection without a table call", n, w.platform.Now()-before, limit)
		}
		loop.Go(func() { _ = l.Run(ctx) })
		if err := w.clock.Sleep(ctx, 5*clock.Minute); err != nil {
			t.Fatal(err)
		}
		if n := l.Pending(); n != 0 {
			t.Errorf("%d pending four minutes after the outage, want none", n)
		}
		cancel()
		loop.Wait()
	})
}

// A restore of the table while a call runs must not let a repeat run the call again once its answer is known.
func TestRestoreDuringCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(scenario{pauses: make([]memory.Outage, 1), deaths: make([]clock.Millis, 1)})
		l, ctx := w.ledger(0), context.Background()
		ticket, _, err := l.Begin(ctx, w.call(0))
		if err != nil {
			t.Fatal(err)
		}
		w.platform.Restore(clock.Second)
		if err := ticket.Done(ctx, claim.Answer{Status: 201}); err != nil {
			t.Fatal(err)
		}
		if _, recorded, err := l.Begin(ctx, w.call(0)); err != nil || recorded == nil || recorded.Answer.Status != 201 {
			t.Fatalf("Begin() = %v, %v; want the recorded answer", recorded, err)
		}
	})
}
