package lease_test

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

	"github.com/poplarwinch/poplarwinch/lease"
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
func simulate(t *testing.T, s scenario, opts ...lease.Option) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s)
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		leases := make([]*lease.Lease, len(s.machines))
		for i := range leases {
			leases[i] = w.lease(i, opts...)
			loops.Go(func() { _ = leases[i].Run(ctx) })
		}
		if s.age > 0 {
			loops.Go(func() {
				time.Sleep(s.restored.Duration())
				w.platform.Restore(s.age)
			})
		}
		highest, holder, valid := uint64(0), -1, -1
		for ; w.platform.Now() < end; time.Sleep(100 * time.Millisecond) {
			// A paused instance is asked too: it may resume at this moment and act before its loop runs.
			valid = -1
			for i, l := range leases {
				token, ok := l.Valid(0)
				if !ok {
					continue
				}
				if valid >= 0 {
					violations = append(violations, fmt.Sprint("two holders: ", valid, " and ", i, " at ", w.platform.Now()))
				}
				if token < highest || token == highest && holder != i {
					violations = append(violations, fmt.Sprint("token ", token, " after ", highest, " at ", w.platform.Now()))
				}
				highest, holder, valid = max(highest, token), i, i
			}
		}
		if valid < 0 {
			violations = append(violations, "no holder at the end")
		}
		cancel()
		loops.Wait()
		w.platform.Wait()
		for i, l := range leases {
			if _, ok := l.Valid(0); ok {
				violations = append(violations, fmt.Sprint("valid after the end of Run: ", i))
			}
		}
	})
	return violations
}

// Two planners at a time would send engines contradicting orders, and a token that does not increase lets an engine
// accept orders of the earlier one.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if v := simulate(t, scenarios().Draw(rt, "scenario")); len(v) > 0 {
			rt.Fatal(strings.Join(v, "\n"))
		}
	})
}

// A checker that accepts a broken mechanism proves nothing about the real one.
func TestCheckerDetects(t *testing.T) {
	for name, test := range map[string]struct {
		option lease.Option
		want   string
	}{
		"monotonic clock is ignored": {lease.WithoutMonotonic(), "two holders"},
		"wall clock is ignored":      {lease.WithoutWall(), "two holders"},
		"taken over early":           {lease.WithTakeEarly(), "two holders"},
		"never a candidate":          {lease.WithCandidate(func() bool { return false }), "no holder"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 300 {
				if strings.Contains(strings.Join(simulate(t, scenarios().Example(seed), test.option), "\n"), test.want) {
					return
				}
			}
			t.Fatalf("no scenario of 300 led to a report of %q", test.want)
		})
	}
}
