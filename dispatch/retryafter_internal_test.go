package dispatch

import (
	"testing"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/cost"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

// Guards against a Retry-After that callers don't honour, that sends them back before there is room, or all at the same time, and against
// one that ignores its switch.
func TestRetryAfterIsPredictedAndSpread(t *testing.T) {
	m := clock.NewManual(1_000_000)
	e := cost.New(m.Clock(), "a")
	d := New(WithClock(m.Clock()), WithFleet(fleet.New(fleet.WithClock(m.Clock()))), WithCost(e, CostUses{RetryAfter: true}))
	x := newRun(d, &Request{Service: "pool", Route: &route.Route{Target: 1500}, Started: m.Now(), Deadline: m.Now() + 20_000}, Reply{})
	engines := []fleet.Candidate{{Load: fleet.Load{Requests: 8, Prefill: 300}}, {Load: fleet.Load{Requests: 12, Prefill: 90}}}
	if got := x.untilFree(engines); got != 0 {
		t.Errorf("%d ms predicted before anything was learned", got)
	}
	for range 10 {
		e.LearnEngine(x.costRequest(), cost.EngineOutcome{Total: 4000})
	}
	if got := x.untilFree(engines); got != retryAfterFull {
		t.Errorf("%d ms predicted with nothing waiting, want %d: a caller that comes back sooner is rejected again", got, retryAfterFull)
	}
	for range 14 {
		defer d.fleet.CountWaiting()()
	}
	predicted := x.untilFree(engines)
	if predicted < 2700 || predicted > 3000 {
		t.Errorf("%d ms predicted, want about 14 of 20 requests of 4 s to end", predicted)
	}
	for _, c := range []struct{ untilFree, lowest, highest clock.Millis }{
		{predicted, 2700, 4500}, {300, 300, 450}, {9000, 4444, 6667}, {1, 50, 75},
	} {
		seen := map[clock.Millis]bool{}
		for range 300 {
			got := x.retryAfter(c.untilFree)
			if got < c.lowest || got > c.highest {
				t.Fatalf("Retry-After %d ms with capacity after %d ms, want %d to %d", got, c.untilFree, c.lowest, c.highest)
			}
			seen[got] = true
		}
		if len(seen) < 20 {
			t.Errorf("%d different values of Retry-After", len(seen))
		}
	}
	d.costUses.RetryAfter = false
	if got := x.retryAfter(300); got < retryAfterFull {
		t.Errorf("Retry-After %d ms though its prediction is switched off", got)
	}
}
