package quarantine_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/memory"
	"github.com/poplarwinch/poplarwinch/quarantine"
)

// rewriteTime is the time in which an instance writes its rows again after a restore of the table.
const rewriteTime = 2 * time.Second

// withGuards runs a test in virtual time with the guards of two instances.
func withGuards(t *testing.T, test func(t *testing.T, table *memory.Platform, a, b *quarantine.Guard)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		platform := memory.New()
		client := platform.Client(func() {})
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		var guards [2]*quarantine.Guard
		for i := range guards {
			guards[i] = quarantine.NewGuard(clock.System(), client.Get, client.Put)
			loops.Go(func() { _ = guards[i].Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		test(t, platform, guards[0], guards[1])
		cancel()
		loops.Wait()
	})
}

var suspect = quarantine.FingerprintOf("customer", "model", []byte("suspect"))

// acquire acquires a permit for a run of 20 s, waiting up to 5 s.
func acquire(g *quarantine.Guard, knownDeaths int) (*quarantine.Permit, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return g.Acquire(ctx, suspect, knownDeaths, clock.System().Now()+20*clock.Second)
}

func mustAcquire(t *testing.T, g *quarantine.Guard, knownDeaths int) *quarantine.Permit {
	t.Helper()
	p, err := acquire(g, knownDeaths)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against a request that crashes a third engine, since a restore of the table lost the row of the run that crashed the second.
func TestDeathAfterRestore(t *testing.T) {
	withGuards(t, func(t *testing.T, table *memory.Platform, a, b *quarantine.Guard) {
		if err := mustAcquire(t, a, 0).Release(context.Background(), quarantine.RunCrashed); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		p := mustAcquire(t, a, 1)
		table.Restore(clock.Second)
		if err := p.Release(context.Background(), quarantine.RunCrashed); err != nil {
			t.Fatal(err)
		}
		if _, err := acquire(b, 1); !errors.Is(err, quarantine.ErrRejected) {
			t.Errorf("after two deaths Acquire() = %v, want ErrRejected", err)
		}
	})
}

// Guards against a sound request that is rejected for minutes because two engines ended while it ran, each for another reason, though it was
// answered in between.
func TestDeathBeforeAnAnswerDoesNotCount(t *testing.T) {
	withGuards(t, func(t *testing.T, _ *memory.Platform, a, b *quarantine.Guard) {
		for _, result := range []quarantine.RunResult{quarantine.RunCrashed, quarantine.RunCompleted, quarantine.RunCrashed} {
			if err := mustAcquire(t, a, 0).Release(context.Background(), result); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := acquire(b, 1); err != nil {
			t.Errorf("after an answer and a death Acquire() = %v", err)
		}
	})
}

// Guards against two copies of a suspect at once, since a restore of the table lost the row of the first.
func TestCopyAfterRestore(t *testing.T) {
	withGuards(t, func(t *testing.T, table *memory.Platform, a, b *quarantine.Guard) {
		mustAcquire(t, a, 1)
		table.Restore(clock.Second)
		time.Sleep(rewriteTime)
		if p, err := acquire(b, 1); p != nil || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a second copy gets %v, %v; want none while the first runs", p, err)
		}
	})
}

// Guards against a sound request that is blocked and then taken for one that crashed two engines, since a restore brought back the row
// of a run that had ended.
func TestRunRestoredAfterItsEnd(t *testing.T) {
	withGuards(t, func(t *testing.T, table *memory.Platform, a, b *quarantine.Guard) {
		p := mustAcquire(t, a, 1)
		time.Sleep(time.Second)
		if err := p.Release(context.Background(), quarantine.RunEnded); err != nil {
			t.Fatal(err)
		}
		table.Restore(clock.Second / 2)
		time.Sleep(rewriteTime)
		if _, err := acquire(b, 1); err != nil {
			t.Errorf("after a run that ended well Acquire() = %v", err)
		}
	})
}
