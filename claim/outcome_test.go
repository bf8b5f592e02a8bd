package claim_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/claim"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/memory"
)

// TestOutcomes guards against a wrong error kind or outcome, with which a caller repeats a call that may have run or
// gives up a call that did not run.
func TestOutcomes(t *testing.T) {
	answer := claim.Answer{Status: 201, Header: map[string][]string{"Location": {"/1"}}, Body: []byte("made")}
	finish := map[string]func(*claim.Ticket) error{
		"sending": func(*claim.Ticket) error { return nil },
		"done":    func(t *claim.Ticket) error { return t.Done(context.Background(), answer) },
		"closed":  func(t *claim.Ticket) error { return t.NotRun(context.Background()) },
		"unknown": func(t *claim.Ticket) error { return t.Unknown(context.Background()) },
	}
	for name, test := range map[string]struct {
		earlier string
		change  func(*claim.Call)
		after   clock.Millis
		outage  bool
		kind    poplarwinch.Kind
		outcome poplarwinch.Outcome
		replay  bool
	}{
		"first call":            {},
		"still running":         {earlier: "sending", kind: poplarwinch.KindInProgress, outcome: poplarwinch.OutcomeUnknown},
		"beyond the time limit": {earlier: "sending", after: timeLimit + 1, kind: poplarwinch.KindUpstreamFailed, outcome: poplarwinch.OutcomeUnknown},
		"marked unknown":        {earlier: "unknown", kind: poplarwinch.KindUpstreamFailed, outcome: poplarwinch.OutcomeUnknown},
		"recorded":              {earlier: "done", replay: true},
		"closed":                {earlier: "closed"},
		"other customer":        {earlier: "done", change: func(c *claim.Call) { c.Customer = "other" }},
		"other key":             {earlier: "done", change: func(c *claim.Call) { c.Key = "key-0/" }},
		"other content": {
			earlier: "done", change: func(c *claim.Call) { c.Fingerprint = "other" },
			kind: poplarwinch.KindConflict, outcome: poplarwinch.OutcomeNotRun,
		},
		"no key": {
			change: func(c *claim.Call) { c.Key = "" }, kind: poplarwinch.KindInvalidRequest, outcome: poplarwinch.OutcomeNotRun,
		},
		"long key": {
			change: func(c *claim.Call) { c.Key = strings.Repeat("k", 256) },
			kind:   poplarwinch.KindInvalidRequest, outcome: poplarwinch.OutcomeNotRun,
		},
		"deadline passed": {
			change: func(c *claim.Call) { c.Deadline = 1 }, kind: poplarwinch.KindDeadlineExceeded, outcome: poplarwinch.OutcomeNotRun,
		},
		"table out of service": {
			earlier: "closed", outage: true, after: clock.Minute, kind: poplarwinch.KindUnavailable, outcome: poplarwinch.OutcomeNotRun,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(scenario{pauses: make([]memory.Outage, 1), crashes: make([]clock.Millis, 1)})
				if test.outage {
					sim.platform = memory.New(memory.WithOutages(memory.Outage{From: clock.Minute, To: clock.Hour}))
				}
				l, ctx := sim.ledger(0), context.Background()
				if test.earlier != "" {
					ticket, _, err := l.Begin(ctx, sim.call(0))
					if err != nil {
						t.Fatal(err)
					}
					if err := finish[test.earlier](ticket); err != nil {
						t.Fatal(err)
					}
				}
				if err := sim.clock.Sleep(ctx, test.after); err != nil {
					t.Fatal(err)
				}
				call := sim.call(0)
				if test.change != nil {
					test.change(&call)
				}
				ticket, recorded, err := l.Begin(ctx, call)
				var e *poplarwinch.Error
				switch {
				case test.kind != "":
					if !errors.As(err, &e) || e.Kind != test.kind || e.Outcome != test.outcome || ticket != nil || recorded != nil {
						t.Errorf("Begin() = %v, %v, %v; want %s, %s", ticket, recorded, err, test.kind, test.outcome)
					}
				case err != nil || (recorded != nil) != test.replay || (ticket != nil) == test.replay:
					t.Errorf("Begin() = %v, %v, %v", ticket, recorded, err)
				case test.replay:
					a := recorded.Answer
					if a.Status != 201 || a.Header.Get("Location") != "/1" || string(a.Body) != "made" {
						t.Errorf("recorded answer = %+v, want %+v", a, answer)
					}
				default:
					if err := ticket.Done(ctx, answer); err != nil {
						t.Errorf("Done() = %v", err)
					}
					if ticket.NotRun(ctx) == nil || l.Pending() != 0 {
						t.Error("NotRun() after Done() was accepted; it could permit a second run")
					}
				}
			})
		})
	}
}
