package clock_test

import (
	"context"
	"testing"

	"github.com/poplarwinch/poplarwinch/clock"
)

// A timer that fires early would end leases and deadlines too soon.
func TestManualFiresTimersWhenDue(t *testing.T) {
	m := clock.NewManual(1000)
	c := m.Clock()
	done, stop := c.After(50)
	defer stop()
	m.Advance(49)
	select {
	case <-done:
		t.Fatal("timer fired 1 ms early")
	default:
	}
	m.Advance(1)
	<-done
	if got := c.Now(); got != 1050 {
		t.Fatalf("Now() = %d, want 1050", got)
	}
}

// A wait that ignores its context would continue after the request that started it has ended.
func TestSleepEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := clock.NewManual(0).Clock().Sleep(ctx, clock.Hour); err != context.Canceled {
		t.Fatalf("Sleep() = %v, want %v", err, context.Canceled)
	}
}
