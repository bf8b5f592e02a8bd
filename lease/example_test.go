package lease_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/memory"
	"github.com/poplarwinch/poplarwinch/lease"
)

func ExampleLease_Valid() {
	c := memory.New().Client(func() {})
	l := lease.New(lease.WithKey("lease/arima"), lease.WithHolder("instance-1"), lease.WithTable(c.Get, c.Put))
	// Run must be started in a goroutine of its own. Orders that are valid for 2 s need a margin of 3 s.
	if token, ok := l.Valid(3 * clock.Second); ok {
		fmt.Println("send orders with fencing token", token)
	} else {
		fmt.Println("send no orders")
	}
	// Output: send no orders
}

// TestMarginAndFailover guards against Valid ignoring its margin, which lets orders outlive the lease, and against a
// failover that takes too long and leaves a failure domain without a planner.
func TestMarginAndFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(scenario{machines: make([]machine, 2)})
		first, second := sim.lease(0), sim.lease(1)
		ctx, stop := context.WithCancel(context.Background())
		secondCtx, stopSecond := context.WithCancel(context.Background())
		done := make(chan struct{}, 2)
		run := func(ctx context.Context, l *lease.Lease) {
			_ = l.Run(ctx)
			done <- struct{}{}
		}
		go run(ctx, first)
		if err := sim.clock.Sleep(secondCtx, 15*clock.Second); err != nil {
			t.Fatal(err)
		}
		go run(secondCtx, second)
		token, validNear := first.Valid(3 * clock.Second)
		if _, validFar := first.Valid(10 * clock.Second); !validNear || validFar {
			t.Errorf("Valid(3 s) = %v, Valid(10 s) = %v; want true, false", validNear, validFar)
		}
		if err := sim.clock.Sleep(secondCtx, 15*clock.Second); err != nil {
			t.Fatal(err)
		}
		stop()
		<-done
		if _, ok := first.Valid(0); ok {
			t.Error("valid after Run has ended")
		}
		// The row counts as expired after up to 14.5 s: 10.5 s after its first read, with reads up to 4 s apart. The new
		// holder then waits for another 10.5 s.
		if err := sim.clock.Sleep(secondCtx, 26*clock.Second); err != nil {
			t.Fatal(err)
		}
		if nextToken, ok := second.Valid(0); !ok || nextToken <= token {
			t.Errorf("second holder: %d, %v; want a token above %d", nextToken, ok, token)
		}
		stopSecond()
		<-done
	})
}
