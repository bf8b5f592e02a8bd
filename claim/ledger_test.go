package claim_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
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
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	// A fixed seed makes failures repeatable; other seeds are given on the command line.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func answer(id string, large bool) []byte {
	if large {
		return []byte(strings.Repeat(id, 10_000))
	}
	return []byte(id)
}

// handle is what an entry instance does with a call. It returns the error of Begin.
func (w *world) handle(l *claim.Ledger, id string, r request) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit.Duration())
	defer cancel()
	key := w.call(r.key).Key
	ticket, recorded, err := l.Begin(ctx, w.call(r.key))
	w.pass(r.instance)
	switch {
	case err != nil:
		return err
	case recorded != nil:
		w.mutex.Lock()
		sends := w.sends[key]
		w.mutex.Unlock()
		if !slices.ContainsFunc(sends, func(s string) bool {
			return bytes.Equal(recorded.Answer.Body, answer(s, false)) || bytes.Equal(recorded.Answer.Body, answer(s, true))
		}) {
			w.violate("foreign answer: " + id)
		}
		return nil
	case r.reaction == "refuse":
		// The error says that the write is repeated in the background.
		_ = ticket.NotRun(ctx)
		return nil
	}
	w.mutex.Lock()
	w.sends[key] = append(w.sends[key], id)
	w.mutex.Unlock()
	time.Sleep(r.takes.Duration())
	w.pass(r.instance)
	if r.reaction == "break" {
		_ = ticket.Unknown(ctx)
		return nil
	}
	_ = ticket.Done(ctx, claim.Answer{Status: 200, Body: answer(id, r.reaction == "large")})
	return nil
}

// simulate runs a scenario and returns what the checker found.
func simulate(t *testing.T, s scenario, background bool, opts ...claim.Option) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s)
		ctx, cancel := context.WithCancel(context.Background())
		var loops, calls sync.WaitGroup
		ledgers := make([]*claim.Ledger, len(s.pauses))
		for i := range ledgers {
			ledgers[i] = w.ledger(i, opts...)
			if background {
				loops.Go(func() { _ = ledgers[i].Run(ctx) })
			}
		}
		for n, r := range s.requests {
			calls.Go(func() {
				time.Sleep(r.at.Duration())
				w.pass(r.instance)
				id := fmt.Sprint("request-", n)
				err := w.handle(ledgers[r.instance], id, r)
				var e *poplarwinch.Error
				if err != nil && !errors.As(err, &e) {
					w.violate("untyped error: " + err.Error())
				} else if e != nil && e.Outcome != poplarwinch.OutcomeNotRun && e.Outcome != poplarwinch.OutcomeUnknown {
					w.violate("outcome of an error: " + string(e.Outcome))
				}
				w.mutex.Lock()
				sent := slices.Contains(w.sends[w.call(r.key).Key], id)
				w.mutex.Unlock()
				if sent && e != nil && e.Outcome == poplarwinch.OutcomeNotRun {
					w.violate("not-run after a send: " + id)
				}
			})
		}
		calls.Wait()
		time.Sleep((quiet - w.platform.Now()).Duration())
		w.platform.Wait()
		w.finish(opts)
		cancel()
		loops.Wait()
		violations = w.violations
	})
	return violations
}

// finish checks the sends, and what a repeat of each call gets when all faults are over.
func (w *world) finish(opts []claim.Option) {
	for key, sends := range w.sends {
		if len(sends) > 1 {
			w.violate(fmt.Sprint("sent twice: ", key, sends))
		}
	}
	if slices.ContainsFunc(w.scenario.deaths, func(d clock.Millis) bool { return d > 0 }) {
		return
	}
	fresh := w.ledger(0, opts...)
	for k := range 2 {
		key := w.call(k).Key
		ticket, _, err := fresh.Begin(context.Background(), w.call(k))
		sent := len(w.sends[key]) > 0
		if sent && ticket != nil {
			w.violate("sent twice: " + key + " at the end")
		}
		if !sent && ticket == nil {
			w.violate(fmt.Sprint("never sent and cannot be sent: ", key, " ", err))
		}
		var e *poplarwinch.Error
		if sent && errors.As(err, &e) && e.Kind != poplarwinch.KindUpstreamFailed {
			w.violate("no end: " + err.Error())
		}
	}
}

// A second send of a call books or pays twice; a wrong not-run makes a caller repeat a call that ran; a claim that is
// neither recorded nor closed blocks its key for ever.
func TestAtMostOnce(t *testing.T) {
	for name, mayDie := range map[string]bool{"all live": false, "some die": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				if v := simulate(t, scenarios(mayDie).Draw(rt, "scenario"), true); len(v) > 0 {
					rt.Fatal(strings.Join(v, "\n"))
				}
			})
		})
	}
}

// A checker that accepts a broken mechanism proves nothing about the real one.
func TestCheckerDetects(t *testing.T) {
	for name, test := range map[string]struct {
		background bool
		opts       []claim.Option
		want       string
	}{
		"take-over of sending rows":  {true, []claim.Option{claim.WithTakeOver()}, "sent twice"},
		"uncertain write is trusted": {true, []claim.Option{claim.WithTrust()}, "invariant"},
		"no background repeats":      {false, nil, "never sent and cannot be sent"},
		"attempt ids are not unique": {true, []claim.Option{claim.WithAttemptIDs(func() string { return "same" })}, "sent twice"},
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
