package claim_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/claim"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/memory"
	"github.com/poplarwinch/poplarwinch/emulator/property"
)

// rewriteTime is the time in which an instance writes its claims again after a restore of the table.
const rewriteTime = 2 * time.Second

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

// largeAnswer is stored as an object.
var largeAnswer = claim.Answer{Status: 201, Body: make([]byte, 100_000)}

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

// Guards against a second run of a call after a restore of the table that lost its claim. An instance that wrote the claim writes it
// again; its state decides what a repeat through another instance gets.
func TestRepeatAfterRestore(t *testing.T) {
	for name, test := range map[string]struct {
		finish   func(*claim.Ticket) error
		age      clock.Millis
		kind     poplarwinch.Kind
		recorded bool
		claimed  bool
	}{
		"running":           {age: clock.Second, kind: poplarwinch.KindInProgress},
		"answered":          {finish: func(t *claim.Ticket) error { return t.Done(context.Background(), restoredAnswer) }, age: 2 * clock.Second, recorded: true},
		"answer lost":       {finish: func(t *claim.Ticket) error { return t.Done(context.Background(), restoredAnswer) }, age: clock.Second / 2, recorded: true},
		"unknown":           {finish: func(t *claim.Ticket) error { return t.Unknown(context.Background()) }, age: 2 * clock.Second, kind: poplarwinch.KindUpstreamFailed},
		"unknown mark lost": {finish: func(t *claim.Ticket) error { return t.Unknown(context.Background()) }, age: clock.Second / 2, kind: poplarwinch.KindUpstreamFailed},
		"large answer":      {finish: func(t *claim.Ticket) error { return t.Done(context.Background(), largeAnswer) }, age: 2 * clock.Second, kind: poplarwinch.KindUpstreamFailed},
		"not run":           {finish: func(t *claim.Ticket) error { return t.NotRun(context.Background()) }, age: clock.Second / 2, claimed: true},
	} {
		t.Run(name, func(t *testing.T) {
			withLedgers(t, func(t *testing.T, sim *simulation, a, b *claim.Ledger) {
				ticket := mustBegin(t, sim, a)
				time.Sleep(800 * time.Millisecond)
				if test.finish != nil {
					if err := test.finish(ticket); err != nil {
						t.Fatal(err)
					}
				}
				sim.platform.Restore(test.age)
				time.Sleep(rewriteTime)
				repeat, recorded, err := begin(sim, b)
				var e *poplarwinch.Error
				errors.As(err, &e)
				if (repeat != nil) != test.claimed || (recorded != nil) != test.recorded || test.kind != "" && (e == nil || e.Kind != test.kind) {
					t.Errorf("a repeat gets %v, %v, %v; want kind %q, recorded %v, claimed %v", repeat, recorded, err, test.kind, test.recorded, test.claimed)
				}
			})
		})
	}
}

// Guards against a second run through the instance that ran the call, in the moment after a restore.
func TestRepeatAtOnceAfterRestore(t *testing.T) {
	withLedgers(t, func(t *testing.T, sim *simulation, a, _ *claim.Ledger) {
		if err := mustBegin(t, sim, a).Done(context.Background(), restoredAnswer); err != nil {
			t.Fatal(err)
		}
		sim.platform.Restore(clock.Second)
		if ticket, recorded, err := begin(sim, a); recorded == nil {
			t.Errorf("a repeat gets %v, %v; want the recorded answer", ticket, err)
		}
	})
}

// Guards against an instance that forgets its claims while the table is unavailable before it is restored from an older copy.
func TestRepeatAfterOutageAndRestore(t *testing.T) {
	withLedgers(t, func(t *testing.T, sim *simulation, a, b *claim.Ledger) {
		if err := mustBegin(t, sim, a).Done(context.Background(), restoredAnswer); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		sim.platform.SetOutage(true)
		time.Sleep(5 * time.Minute)
		sim.platform.Restore(5*clock.Minute + 8*clock.Second)
		sim.platform.SetOutage(false)
		time.Sleep(2 * rewriteTime)
		if ticket, recorded, err := begin(sim, b); recorded == nil {
			t.Errorf("a repeat gets %v, %v; want the recorded answer", ticket, err)
		}
	})
}

// Guards against second runs of calls around a restore of the table, with lost and late writes, if no repeat arrives until the claims
// have been written again.
func TestAtMostOnceAroundRestore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scenarios(false).Draw(rt, "scenario")
		for i := range s.pauses {
			s.pauses[i] = memory.Outage{}
		}
		s.outages = nil
		restoreAt := property.MillisBetween(0, 8000).Draw(rt, "restored")
		age := property.MillisBetween(1, 8000).Draw(rt, "age")
		// Each lost call of the table delays the writes by up to a second.
		quietUntil := restoreAt + 40*clock.Second
		first := map[int]bool{}
		for i := range s.requests {
			if r := &s.requests[i]; r.at >= restoreAt || first[r.key] {
				r.at = quietUntil
			} else {
				first[r.key] = true
			}
		}
		s.restoreAt, s.restoreAge = restoreAt, age
		if v := simulate(t, s, true); len(v) > 0 {
			rt.Fatal(strings.Join(v, "\n"))
		}
	})
}

// Guards against a repeat that takes a claim which it has seen for one that never was, when a restore of the table removes it while the
// repeat waits.
func TestWaitingRepeatAtRestore(t *testing.T) {
	withLedgers(t, func(t *testing.T, sim *simulation, a, b *claim.Ledger) {
		ticket := mustBegin(t, sim, a)
		time.AfterFunc(200*time.Millisecond, func() { sim.platform.Restore(clock.Second) })
		if repeat, recorded, err := begin(sim, b); repeat != nil || recorded != nil {
			t.Errorf("a waiting repeat gets %v, %v, %v; want none while the first runs", repeat, recorded, err)
		}
		if err := ticket.Done(context.Background(), restoredAnswer); err != nil {
			t.Errorf("Done() = %v", err)
		}
	})
}
