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
	// Run is started in a goroutine of its own. Orders with a validity of 2 s need a margin of 3 s.
	if token, ok := l.Valid(3 * clock.Second); ok {
		fmt.Println("send orders with fencing number", token)
	} else {
		fmt.Println("send no orders")
	}
	// Output: send no orders
}

// A margin that is ignored lets orders outlive the lease; a failover without a bound leaves a domain without a planner.
func TestMarginAndFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(scenario{machines: make([]machine, 2)})
		first, second := w.lease(0), w.lease(1)
		ctx, stop := context.WithCancel(context.Background())
		rest, end := context.WithCancel(context.Background())
		done := make(chan struct{}, 2)
		run := func(ctx context.Context, l *lease.Lease) {
			_ = l.Run(ctx)
			done <- struct{}{}
		}
		go run(ctx, first)
		if err := w.clock.Sleep(rest, 15*clock.Second); err != nil {
			t.Fatal(err)
		}
		go run(rest, second)
		token, near := first.Valid(3 * clock.Second)
		if _, far := first.Valid(10 * clock.Second); !near || far {
			t.Errorf("Valid(3 s) = %v, Valid(10 s) = %v; want true, false", near, far)
		}
		if err := w.clock.Sleep(rest, 15*clock.Second); err != nil {
			t.Fatal(err)
		}
		stop()
		<-done
		if _, ok := first.Valid(0); ok {
			t.Error("valid after Run has ended")
		}
		// 14.5 s until the row counts as expired (10.5 s after its last read, reads up to 4 s apart), 10.5 s to settle.
		if err := w.clock.Sleep(rest, 26*clock.Second); err != nil {
			t.Fatal(err)
		}
		if next, ok := second.Valid(0); !ok || next <= token {
			t.Errorf("second holder: %d, %v; want a token above %d", next, ok, token)
		}
		end()
		<-done
	})
}
