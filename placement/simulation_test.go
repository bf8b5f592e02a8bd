package placement

import (
	"context"
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
	"github.com/poplarwinch/poplarwinch/emulator/property"
	"github.com/poplarwinch/poplarwinch/manifest"
)

func TestMain(m *testing.M) {
	os.Exit(property.Run(m, map[string]string{"rapid.seed": "1"}))
}

// simulate runs a scenario and returns the violations found.
func simulate(t *testing.T, s scenario, change func(*simulation, *Planner)) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(s)
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		for i := range s.machines {
			l := sim.lease(i)
			p := sim.planner(i, l)
			change(sim, p)
			loops.Go(func() { _ = l.Run(ctx) })
			loops.Go(func() { _ = p.Run(ctx) })
		}
		if s.restarted > 0 {
			loops.Go(func() {
				if sim.clock.Sleep(ctx, s.restarted) == nil {
					sim.engines[0].Restart()
				}
			})
		}
		for ; sim.platform.Now() < scenarioEnd; time.Sleep((500 * clock.Millis(1)).Duration()) {
			engineStates := sim.engineStates()
			sim.mutex.Lock()
			sim.observed = append(sim.observed, engineStates)
			sim.mutex.Unlock()
		}
		sim.checkConverged()
		cancel()
		loops.Wait()
		sim.lateOrders.Wait()
		sim.platform.Wait()
		for i, e := range sim.engines {
			last := uint64(0)
			for _, o := range e.Record().Orders {
				if o.Accepted && o.FencingToken < last {
					sim.recordViolation("token of engine %d decreased", i)
				}
				if o.Accepted {
					last = max(last, o.FencingToken)
				}
			}
			e.Close()
		}
		violations = sim.violations
	})
	return violations
}

// checkConverged checks that the engines have reached the desired state: no orders are left to send, and minimums are
// met.
func (s *simulation) checkConverged() {
	input := planInput{now: s.clock.Now(), manifest: s.manifest(), engines: s.engineStates()}
	input.manifest.Engines.MaxConcurrentLoads = len(s.engines)
	for _, a := range decide(input) {
		s.recordViolation("not converged: engine %s has %s and lacks %s", a.engine.ID, formatModels(a.engine.Models), formatModels(a.want))
	}
	if n := s.serving(); n["a"] < 3 || n["b"] < 1 {
		s.recordViolation("not converged: %d engines of a and %d of b", n["a"], n["b"])
	}
}

// TestConverges guards against engines that accept orders of a holder whose lease has expired, against version updates
// that take a model below its minimum, and against engines that don't get the desired models after faults have ended.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if v := simulate(t, scenarios().Draw(rt, "scenario"), func(*simulation, *Planner) {}); len(v) > 0 {
			rt.Fatal(strings.Join(v, "\n"))
		}
	})
}

// TestCallsAtTheMomentOfARestart guards against a simulation that ends with a panic because an engine restarts while it is looked at.
func TestCallsAtTheMomentOfARestart(t *testing.T) {
	sim := newSimulation(scenario{})
	var restarts sync.WaitGroup
	restarts.Go(func() {
		for range 2000 {
			sim.engines[0].Restart()
		}
	})
	for range 2000 {
		if e := sim.engineState(0); e.BootID == "" || !e.Up {
			t.Fatalf("got %+v, want the state of a running engine", e)
		}
	}
	restarts.Wait()
	for _, e := range sim.engines {
		e.Close()
	}
}

// TestCheckerDetects guards against a checker that misses violations: each case disables a safeguard or breaks the
// planner, and the checker must report it.
func TestCheckerDetects(t *testing.T) {
	ignoreLease := func(sim *simulation, p *Planner) {
		p.ignoreLease = true
		for _, e := range sim.engines {
			e.SetFaults(emulatedengine.Faults{IgnoreFencing: true})
		}
	}
	for name, test := range map[string]struct {
		checksFencing bool
		change        func(*simulation, *Planner)
		want          string
	}{
		"orders outlive the lease":                            {false, ignoreLease, "stale order accepted"},
		"engines that check fencing tokens accept stale ones": {true, ignoreLease, "stale order accepted"},
		"orders are sent after the lease": {false, func(_ *simulation, p *Planner) {
			p.ignoreLease = true
			valid := p.Valid
			p.Valid = func(margin clock.Millis) (uint64, bool) {
				token, ok := valid(margin)
				return token, ok || token != 0
			}
		}, "sent after the lease"},
		"orders are valid for too long": {true, ignoreLease, "valid after the lease"},
		"minimums are ignored":          {true, func(_ *simulation, p *Planner) { p.ignoreMinimums = true }, "below the minimum"},
		"the limit of loads is ignored": {true, func(sim *simulation, p *Planner) {
			p.Active = func() *manifest.Manifest {
				m := sim.manifest()
				m.Engines.MaxConcurrentLoads = len(sim.engines)
				return m
			}
		}, "concurrent loads"},
		"no manifest": {
			true, func(_ *simulation, p *Planner) { p.Active = func() *manifest.Manifest { return nil } }, "not converged",
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 300 {
				s := scenarios().Example(seed)
				s.checksFencing = test.checksFencing
				if strings.Contains(strings.Join(simulate(t, s, test.change), "\n"), test.want) {
					t.Log(fmt.Sprint("found by scenario ", seed))
					return
				}
			}
			t.Fatalf("no scenario of 300 led to a report of %q", test.want)
		})
	}
}
