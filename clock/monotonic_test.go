package clock

import (
	"testing"
	"time"
)

// Guards against a process that acts on what was granted to it before its machine was suspended, because its clock stood still
// meanwhile, and against deadlines that move with a step of the wall clock.
func TestMonotonicCountsSuspensions(t *testing.T) {
	const base Millis = 1_000_000
	wall, steady, suspendedTime, calls := base, Millis(0), Millis(70), 0
	m := newMonotonic(base, func() (Millis, Millis) { return wall, steady }, func() Millis {
		calls++
		return suspendedTime
	})
	advance := func(span Millis) {
		wall += span
		steady += span
	}
	expect := func(what string, want Millis) {
		t.Helper()
		if got := m.now() - base; got != want {
			t.Errorf("%s: the clock shows %d ms since the start, want %d", what, got, want)
		}
	}
	expect("at the start", 0)
	advance(500)
	expect("running", 500)
	wall += 4000
	suspendedTime += 4000
	expect("after a suspension", 4500)
	wall -= 30_000
	expect("after a step of the wall clock", 4500)
	advance(200)
	expect("running again", 4700)
	wall += 2000 + 10_000
	suspendedTime += 2000
	expect("after a suspension together with a step", 6700)
	if calls > 4 {
		t.Errorf("the system was asked %d times, want once at the start and after each jump", calls)
	}
}

// Guards against a clock that differs from the machine's while nothing happens.
func TestMonotonicFollowsTheMachine(t *testing.T) {
	c := Monotonic()
	if off := c.Now() - FromTime(time.Now()); off > 50 || off < -50 {
		t.Errorf("the clock is %d ms off at the start", off)
	}
}
