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

	"github.com/poplarwinch/poplarwinch/emulator/memory"
	"github.com/poplarwinch/poplarwinch/lease"
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

// A restore of the table can bring back a row that was seen for long enough to be taken over, while a later holder is
// paused with a lease that is still valid. A holder that waited for less than a whole lease was the second one then.
func TestRestoreAfterTakeOver(t *testing.T) {
	v := simulate(t, scenario{
		machines: []machine{{from: 8730, to: 25396, skew: 224}, {from: 20634, to: 26348, skew: 95}, {from: 44444, to: 62063, skew: 201}},
		effects:  []memory.Effect{{Kind: memory.LostReply}},
		from:     12380, to: 27618, restored: 44761, age: 18095,
	})
	if len(v) > 0 {
		t.Fatal(strings.Join(v, "\n"))
	}
}

// A checker that accepts a broken mechanism proves nothing about the real one.
func TestCheckerDetects(t *testing.T) {
	for name, test := range map[string]struct {
		fault  string
		option lease.Option
		want   string
	}{
		"monotonic clock is ignored": {"back", lease.WithoutMonotonic(), "two holders"},
		"wall clock is ignored":      {"suspend", lease.WithoutWall(), "two holders"},
		"taken over early":           {"none", lease.WithTakeEarly(), "two holders"},
		"never a candidate":          {"none", lease.WithCandidate(func() bool { return false }), "no holder"},
	} {
		t.Run(name, func(t *testing.T) {
			// The first machine becomes the holder and is paused for long enough to lose the lease to the second one.
			s := scenario{machines: []machine{{from: 20_000, to: 60_000, fault: test.fault}, {to: 15_000}}}
			if v := simulate(t, s); len(v) > 0 {
				t.Fatalf("the working mechanism fails: %s", strings.Join(v, "\n"))
			}
			if v := simulate(t, s, test.option); !strings.Contains(strings.Join(v, "\n"), test.want) {
				t.Fatalf("the checker reports %q, want %q", v, test.want)
			}
		})
	}
}
