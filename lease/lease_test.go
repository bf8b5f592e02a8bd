package lease_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/memory"
	"github.com/poplarwinch/poplarwinch/emulator/property"
	"github.com/poplarwinch/poplarwinch/lease"
)

func TestMain(m *testing.M) {
	os.Exit(property.Run(m, map[string]string{"rapid.seed": "1", "rapid.checks": "300"}))
}

// simulate runs a scenario and returns the violations found.
func simulate(t *testing.T, s scenario, opts ...lease.Option) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(s)
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		leases := make([]*lease.Lease, len(s.machines))
		for i := range leases {
			leases[i] = sim.lease(i, opts...)
			loops.Go(func() { _ = leases[i].Run(ctx) })
		}
		if s.restoreAge > 0 {
			loops.Go(func() {
				time.Sleep(s.restoreAt.Duration())
				sim.platform.Restore(s.restoreAge)
				if s.nextAge > 0 {
					time.Sleep(s.nextRestore.Duration())
					sim.platform.Restore(s.nextAge)
				}
			})
		}
		highestToken, lastHolder, current := uint64(0), -1, -1
		for ; sim.platform.Now() < scenarioEnd; time.Sleep(100 * time.Millisecond) {
			// Paused instances are checked too: one may resume now and act before its loop runs.
			current = -1
			for i, l := range leases {
				token, ok := l.Valid(0)
				if !ok {
					continue
				}
				if current >= 0 {
					violations = append(violations, fmt.Sprint("two holders: ", current, " and ", i, " at ", sim.platform.Now()))
				}
				if token < highestToken || token == highestToken && lastHolder != i {
					violations = append(violations, fmt.Sprint("token ", token, " after ", highestToken, " at ", sim.platform.Now()))
				}
				highestToken, lastHolder, current = max(highestToken, token), i, i
			}
		}
		if current < 0 {
			violations = append(violations, "no holder at the end")
		}
		cancel()
		loops.Wait()
		sim.platform.Wait()
		for i, l := range leases {
			if _, ok := l.Valid(0); ok {
				violations = append(violations, fmt.Sprint("valid after the end of Run: ", i))
			}
		}
	})
	return violations
}

// TestOneHolder guards against two holders at a time, which would send engines conflicting orders, and against tokens
// that don't increase, with which engines accept orders of an earlier holder.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if v := simulate(t, scenarios().Draw(rt, "scenario")); len(v) > 0 {
			rt.Fatal(strings.Join(v, "\n"))
		}
	})
}

// TestRestoreAfterTakeOver guards against a second holder after a restore of the table. The restore brings back a row
// that has been seen for long enough to be taken over, while a later holder is paused with a lease that is still valid.
// If a new holder waits for less than a whole lease duration before it acts, there are two.
func TestRestoreAfterTakeOver(t *testing.T) {
	v := simulate(t, scenario{
		machines: []machine{{from: 8730, to: 25396, skew: 224}, {from: 20634, to: 26348, skew: 95}, {from: 44444, to: 62063, skew: 201}},
		effects:  []memory.Effect{{Kind: memory.LostReply}},
		from:     12380, to: 27618, restoreAt: 44761, restoreAge: 18095,
	})
	if len(v) > 0 {
		t.Fatal(strings.Join(v, "\n"))
	}
}

// TestHolderAfterRestore guards against a deployment in which nobody plans for long after a restore of the table: a holder whose row is
// gone must give up, and another one must act after the usual waits.
func TestHolderAfterRestore(t *testing.T) {
	for _, age := range []clock.Millis{clock.Second, 5 * clock.Second, 35 * clock.Second} {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(scenario{machines: []machine{{}, {skew: 200}, {skew: -200}}})
			ctx, cancel := context.WithCancel(t.Context())
			var loops sync.WaitGroup
			var leases []*lease.Lease
			for i := range sim.scenario.machines {
				l := sim.lease(i)
				leases = append(leases, l)
				loops.Go(func() { _ = l.Run(ctx) })
			}
			held := func() bool {
				return slices.ContainsFunc(leases, func(l *lease.Lease) bool { _, ok := l.Valid(0); return ok })
			}
			time.Sleep(40 * time.Second)
			sim.platform.Restore(age)
			var gap clock.Millis
			for range 600 {
				time.Sleep(100 * time.Millisecond)
				if !held() {
					gap += 100
				}
			}
			cancel()
			loops.Wait()
			t.Logf("a restore by %d ms: no holder for %d ms", age, gap)
			if gap > 26*clock.Second {
				t.Errorf("after a restore by %d ms nobody held the lease for %d ms", age, gap)
			}
		})
	}
}

// TestCheckerDetects guards against a checker that misses violations: each case disables a safeguard or prevents the
// election, and the checker must report it.
func TestCheckerDetects(t *testing.T) {
	for name, test := range map[string]struct {
		fault  string
		option lease.Option
		want   string
	}{
		"monotonic clock is ignored": {"back", lease.WithoutMonotonicClock(), "two holders"},
		"wall clock is ignored":      {"suspend", lease.WithoutWallClock(), "two holders"},
		"lease is taken over early":  {"none", lease.WithEarlyTakeOver(), "two holders"},
		"never a candidate":          {"none", lease.WithCandidate(func() bool { return false }), "no holder"},
	} {
		t.Run(name, func(t *testing.T) {
			// The first machine becomes the holder and is paused until it has lost the lease to the second one.
			s := scenario{machines: []machine{{from: 20_000, to: 60_000, fault: test.fault}, {to: 15_000}}}
			if v := simulate(t, s); len(v) > 0 {
				t.Fatalf("the unmodified lease violates the checks: %s", strings.Join(v, "\n"))
			}
			if v := simulate(t, s, test.option); !strings.Contains(strings.Join(v, "\n"), test.want) {
				t.Fatalf("the checker reports %q, want %q", v, test.want)
			}
		})
	}
}
