package placement

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch/clock"
	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
	"github.com/poplarwinch/poplarwinch/manifest"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		// A fixed seed makes failures repeatable; other seeds are given on the command line.
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// simulate runs a scenario and returns what the checker found.
func simulate(t *testing.T, s scenario, change func(*world, *Planner)) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s)
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		for i := range s.machines {
			l := w.lease(i)
			p := w.planner(i, l)
			change(w, p)
			loops.Go(func() { _ = l.Run(ctx) })
			loops.Go(func() { _ = p.Run(ctx) })
		}
		if s.restarted > 0 {
			loops.Go(func() {
				if w.clock.Sleep(ctx, s.restarted) == nil {
					w.engines[0].Restart()
				}
			})
		}
		for ; w.platform.Now() < end; time.Sleep((500 * clock.Millis(1)).Duration()) {
			state := w.state()
			w.mutex.Lock()
			w.seen = append(w.seen, state)
			w.mutex.Unlock()
		}
		w.converged()
		cancel()
		loops.Wait()
		w.late.Wait()
		w.platform.Wait()
		for i, e := range w.engines {
			last := uint64(0)
			for _, o := range e.Record().Orders {
				if o.Accepted && o.FencingNumber < last {
					w.violate("token of engine %d decreased", i)
				}
				if o.Accepted {
					last = max(last, o.FencingNumber)
				}
			}
			e.Close()
		}
		violations = w.violations
	})
	return violations
}

// converged checks that the observed state is the desired one at the end: nothing is left to order.
func (w *world) converged() {
	s := situation{now: w.clock.Now(), manifest: w.manifest(), engines: w.state()}
	s.manifest.Engines.MaxConcurrentLoads = len(w.engines)
	for _, a := range decide(s) {
		w.violate("not converged: engine %s has %s and lacks %s", a.engine.ID, describe(a.engine.Models), describe(a.want))
	}
	if n := w.serving(); n["a"] < 3 || n["b"] < 1 {
		w.violate("not converged: %d engines of a and %d of b", n["a"], n["b"])
	}
}

// TestConverges guards against engines that act on orders of a holder whose lease has ended, against a version change that
// takes a model below its minimum, and against engines that never get the desired models after faults have ended.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if v := simulate(t, scenarios().Draw(rt, "scenario"), func(*world, *Planner) {}); len(v) > 0 {
			rt.Fatal(strings.Join(v, "\n"))
		}
	})
}

// A checker that accepts a broken mechanism proves nothing about the real one.
func TestCheckerDetects(t *testing.T) {
	ignoreLease := func(w *world, p *Planner) {
		p.ignoreLease = true
		for _, e := range w.engines {
			e.SetFaults(emulatedengine.Faults{IgnoreFencing: true})
		}
	}
	for name, test := range map[string]struct {
		checks bool
		change func(*world, *Planner)
		want   string
	}{
		"orders outlive the lease":                            {false, ignoreLease, "stale order accepted"},
		"engines that check fencing tokens accept stale ones": {true, ignoreLease, "stale order accepted"},
		"orders are sent after the lease": {false, func(_ *world, p *Planner) {
			p.ignoreLease = true
			valid := p.Valid
			p.Valid = func(margin clock.Millis) (uint64, bool) {
				token, ok := valid(margin)
				return token, ok || token != 0
			}
		}, "sent after the lease"},
		"orders are valid for too long": {true, ignoreLease, "valid after the lease"},
		"minimums are ignored":          {true, func(_ *world, p *Planner) { p.ignoreFloor = true }, "below the minimum"},
		"the limit of loads is ignored": {true, func(w *world, p *Planner) {
			p.Active = func() *manifest.Manifest {
				m := w.manifest()
				m.Engines.MaxConcurrentLoads = len(w.engines)
				return m
			}
		}, "concurrent loads"},
		"no manifest": {
			true, func(_ *world, p *Planner) { p.Active = func() *manifest.Manifest { return nil } }, "not converged",
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 300 {
				s := scenarios().Example(seed)
				s.checks = test.checks
				if strings.Contains(strings.Join(simulate(t, s, test.change), "\n"), test.want) {
					t.Log(fmt.Sprint("found by scenario ", seed))
					return
				}
			}
			t.Fatalf("no scenario of 300 led to a report of %q", test.want)
		})
	}
}
