package claim_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/poplarwinch/poplarwinch/claim"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/memory"
)

// withLedgers runs a test in virtual time with two instances that write uncertain rows in the background.
func withLedgers(t *testing.T, test func(t *testing.T, sim *simulation, a, b *claim.Ledger)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(scenario{pauses: make([]memory.Outage, 2), crashes: make([]clock.Millis, 2), latency: 2})
		a, b := sim.ledger(0), sim.ledger(1)
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		loops.Go(func() { _ = a.Run(ctx) })
		loops.Go(func() { _ = b.Run(ctx) })
		time.Sleep(10 * time.Second)
		test(t, sim, a, b)
		cancel()
		loops.Wait()
		for _, v := range sim.violations {
			t.Error(v)
		}
	})
}

// begin begins the call with a deadline of half a second.
func begin(sim *simulation, l *claim.Ledger) (*claim.Ticket, *claim.Recorded, error) {
	call := sim.call(0)
	call.Deadline = sim.clock.Now() + clock.Second/2
	return l.Begin(context.Background(), call)
}

// mustBegin begins the call and fails the test unless it may be sent.
func mustBegin(t *testing.T, sim *simulation, l *claim.Ledger) *claim.Ticket {
	t.Helper()
	ticket, _, err := begin(sim, l)
	if ticket == nil {
		t.Fatalf("the call may not be sent: %v", err)
	}
	return ticket
}

var restoredAnswer = claim.Answer{Status: 201, Body: []byte("made")}

// Guards against a second run of a call whose answer is not recorded, because a restore brought back the row of an earlier attempt.
func TestAnswerAfterRestoreToClosedRow(t *testing.T) {
	withLedgers(t, func(t *testing.T, sim *simulation, a, b *claim.Ledger) {
		if err := mustBegin(t, sim, a).NotRun(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		ticket := mustBegin(t, sim, a)
		sim.platform.Restore(clock.Second)
		if err := ticket.Done(context.Background(), restoredAnswer); err != nil {
			t.Errorf("Done() = %v", err)
		}
		if ticket, recorded, err := begin(sim, b); recorded == nil {
			t.Errorf("a repeat gets %v, %v; want the recorded answer", ticket, err)
		}
	})
}
