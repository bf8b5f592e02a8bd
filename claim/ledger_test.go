package claim_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/claim"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/property"
)

func TestMain(m *testing.M) {
	os.Exit(property.Run(m, map[string]string{"rapid.seed": "1", "rapid.checks": "300"}))
}

// answerBody returns the body of the answer to the request id.
func answerBody(id string, large bool) []byte {
	if large {
		return []byte(strings.Repeat(id, 10_000))
	}
	return []byte(id)
}

// handle processes a call as an entry instance does. It returns the error of Begin.
func (s *simulation) handle(l *claim.Ledger, id string, r request) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit.Duration())
	defer cancel()
	key := s.call(r.key).Key
	ticket, recorded, err := l.Begin(ctx, s.call(r.key))
	s.applyFaults(r.instance)
	switch {
	case err != nil:
		return err
	case recorded != nil:
		s.mutex.Lock()
		sends := s.sends[key]
		s.mutex.Unlock()
		if !slices.ContainsFunc(sends, func(sentID string) bool {
			return bytes.Equal(recorded.Answer.Body, answerBody(sentID, false)) || bytes.Equal(recorded.Answer.Body, answerBody(sentID, true))
		}) {
			s.recordViolation("foreign answer: " + id)
		}
		return nil
	case r.reaction == "refuse":
		// An error only means that the write is retried in the background.
		_ = ticket.NotRun(ctx)
		return nil
	}
	s.mutex.Lock()
	s.sends[key] = append(s.sends[key], id)
	s.mutex.Unlock()
	time.Sleep(r.processingTime.Duration())
	s.applyFaults(r.instance)
	if r.reaction == "break" {
		_ = ticket.Unknown(ctx)
		return nil
	}
	_ = ticket.Done(ctx, claim.Answer{Status: 200, Body: answerBody(id, r.reaction == "large")})
	return nil
}

// simulate runs a scenario and returns the violations found. If background is set, uncertain writes are retried.
func simulate(t *testing.T, s scenario, background bool, opts ...claim.Option) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(s)
		ctx, cancel := context.WithCancel(context.Background())
		var loops, calls sync.WaitGroup
		ledgers := make([]*claim.Ledger, len(s.pauses))
		for i := range ledgers {
			ledgers[i] = sim.ledger(i, opts...)
			if background {
				loops.Go(func() { _ = ledgers[i].Run(ctx) })
			}
		}
		if s.restoreAge > 0 {
			loops.Go(func() {
				time.Sleep(s.restoreAt.Duration())
				sim.platform.Restore(s.restoreAge)
			})
		}
		for n, r := range s.requests {
			calls.Go(func() {
				time.Sleep(r.at.Duration())
				sim.applyFaults(r.instance)
				id := fmt.Sprint("request-", n)
				err := sim.handle(ledgers[r.instance], id, r)
				var e *poplarwinch.Error
				if err != nil && !errors.As(err, &e) {
					sim.recordViolation("untyped error: " + err.Error())
				} else if e != nil && e.Outcome != poplarwinch.OutcomeNotRun && e.Outcome != poplarwinch.OutcomeUnknown {
					sim.recordViolation("error with an outcome other than not-run and unknown: " + string(e.Outcome))
				}
				sim.mutex.Lock()
				sent := slices.Contains(sim.sends[sim.call(r.key).Key], id)
				sim.mutex.Unlock()
				if sent && e != nil && e.Outcome == poplarwinch.OutcomeNotRun {
					sim.recordViolation("not-run after a send: " + id)
				}
			})
		}
		calls.Wait()
		time.Sleep((faultsEnd - sim.platform.Now()).Duration())
		sim.platform.Wait()
		sim.checkFinalState(opts)
		cancel()
		loops.Wait()
		violations = sim.violations
	})
	return violations
}

// checkFinalState checks that no call was sent twice and, unless instances crash, what a repeat of each call gets after
// all faults have ended.
func (s *simulation) checkFinalState(opts []claim.Option) {
	for key, sends := range s.sends {
		if len(sends) > 1 {
			s.recordViolation(fmt.Sprint("sent twice: ", key, sends))
		}
	}
	if slices.ContainsFunc(s.scenario.crashes, func(d clock.Millis) bool { return d > 0 }) {
		return
	}
	fresh := s.ledger(0, opts...)
	for k := range 2 {
		key := s.call(k).Key
		ticket, _, err := fresh.Begin(context.Background(), s.call(k))
		sent := len(s.sends[key]) > 0
		if sent && ticket != nil {
			s.recordViolation("sent twice: " + key + " at the end")
		}
		if !sent && ticket == nil {
			s.recordViolation(fmt.Sprint("never sent and cannot be sent: ", key, " ", err))
		}
		var e *poplarwinch.Error
		if sent && errors.As(err, &e) && e.Kind != poplarwinch.KindUpstreamFailed {
			s.recordViolation("no final outcome of a sent call: " + err.Error())
		}
	}
}

// TestAtMostOnce guards against calls that are sent twice, which would book or pay twice; against a wrong outcome
// not-run, which makes a caller repeat a call that ran; and against claims that are neither recorded nor closed, which
// block their key forever.
func TestAtMostOnce(t *testing.T) {
	for name, mayCrash := range map[string]bool{"no crashes": false, "crashes": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				if v := simulate(t, scenarios(mayCrash).Draw(rt, "scenario"), true); len(v) > 0 {
					rt.Fatal(strings.Join(v, "\n"))
				}
			})
		})
	}
}

// TestCheckerDetects guards against a checker that misses violations: each case disables a safeguard or breaks an
// assumption, and the checker must report it.
func TestCheckerDetects(t *testing.T) {
	for name, test := range map[string]struct {
		background bool
		opts       []claim.Option
		want       string
	}{
		"rows in the state sending are taken over": {true, []claim.Option{claim.WithTakeOverOfSending()}, "sent twice"},
		"uncertain write is trusted":               {true, []claim.Option{claim.WithTrustedUncertainPut()}, "invariant"},
		"no background retries":                    {false, nil, "never sent and cannot be sent"},
		"attempt ids are not unique":               {true, []claim.Option{claim.WithAttemptIDs(func() string { return "same" })}, "sent twice"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 100 {
				if strings.Contains(strings.Join(simulate(t, scenarios(false).Example(seed), test.background, test.opts...), "\n"), test.want) {
					return
				}
			}
			t.Fatalf("no scenario of 100 led to a report of %q", test.want)
		})
	}
}
