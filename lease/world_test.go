package lease_test

import (
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/memory"
	"github.com/poplarwinch/poplarwinch/lease"
)

const (
	// end is when a scenario ends; quiet is when its last fault has ended.
	end   = 150 * clock.Second
	quiet = 110 * clock.Second
)

// machine is one instance's pause and the fault of its clocks.
type machine struct {
	from, to clock.Millis
	// fault is "suspend": the monotonic clock stands still during the pause; "back": the wall clock is set back by a
	// minute at the start of the pause; "ahead": the wall clock is a minute ahead; or "none".
	fault string
	skew  clock.Millis
}

type scenario struct {
	machines []machine
	effects  []memory.Effect
	// The table is out of service between from and to, and is restored to its state of age before at the time restored,
	// unless age is 0.
	from, to, restored, age clock.Millis
}

// millis draws one of 64 evenly spread values. Each bit is drawn on its own, as rapid prefers small integers.
func millis(from, to clock.Millis) *rapid.Generator[clock.Millis] {
	return rapid.Map(rapid.SliceOfN(rapid.Bool(), 6, 6), func(bits []bool) clock.Millis {
		n := clock.Millis(0)
		for _, set := range bits {
			n *= 2
			if set {
				n++
			}
		}
		return from + (to-from)*n/63
	})
}

func scenarios() *rapid.Generator[scenario] {
	kinds := []memory.Kind{memory.OK, memory.OK, memory.OK, memory.Rejected, memory.LostReply, memory.Late, memory.Dropped}
	return rapid.Custom(func(t *rapid.T) scenario {
		s := scenario{
			machines: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) machine {
				from := millis(0, 50_000).Draw(t, "from")
				return machine{
					from: from, to: from + millis(0, 60_000).Draw(t, "length"), skew: millis(-240, 240).Draw(t, "skew"),
					fault: rapid.SampledFrom([]string{"none", "suspend", "back", "ahead"}).Draw(t, "fault"),
				}
			}), 2, 4).Draw(t, "machines"),
			effects: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) memory.Effect {
				return memory.Effect{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Late: millis(0, 15_000).Draw(t, "late")}
			}), 0, 60).Draw(t, "effects"),
			from: millis(0, 60_000).Draw(t, "outage"), restored: millis(0, 60_000).Draw(t, "restored"),
			age: rapid.OneOf(rapid.Just(clock.Millis(0)), millis(1, 30_000)).Draw(t, "age"),
		}
		// After a restore only the wall clock keeps tokens increasing, so clocks must be within the assumed skew then.
		for i := range s.machines {
			if m := &s.machines[i]; s.age > 0 && (m.fault == "back" || m.fault == "ahead") {
				m.fault = "none"
			}
		}
		s.to = s.from + millis(0, 20_000).Draw(t, "length")
		return s
	})
}

// world runs inside a synctest bubble, so its time is virtual.
type world struct {
	scenario scenario
	platform *memory.Platform
	clock    *clock.Clock
}

func newWorld(s scenario) *world {
	return &world{scenario: s, clock: clock.System(), platform: memory.New(
		memory.WithEffects(s.effects, quiet), memory.WithOutages(memory.Outage{From: s.from, To: s.to}),
	)}
}

func (w *world) wall(m machine) clock.Millis {
	now := w.clock.Now() + m.skew
	switch {
	case m.fault == "back" && w.platform.Now() >= m.from:
		now -= clock.Minute
	case m.fault == "ahead":
		now += clock.Minute
	}
	return now
}

func (w *world) monotonic(m machine) clock.Millis {
	now := w.platform.Now()
	if m.fault == "suspend" && now > m.from {
		now -= min(now, m.to) - m.from
	}
	return now
}

// pass holds up a machine during its pause.
func (w *world) pass(m machine) {
	if now := w.platform.Now(); now >= m.from && now < m.to {
		time.Sleep((m.to - now).Duration())
	}
}

func (w *world) lease(i int, opts ...lease.Option) *lease.Lease {
	m := w.scenario.machines[i]
	c := w.platform.Client(func() { w.pass(m) })
	return lease.New(append([]lease.Option{
		lease.WithKey("lease/arima"), lease.WithHolder(poplarwinch.InstanceID(fmt.Sprint("instance-", i))),
		lease.WithTable(c.Get, c.Put), lease.WithLog(&log.Logger{Handler: discard.Default}),
		lease.WithWall(func() clock.Millis { return w.wall(m) }),
		lease.WithMonotonic(func() clock.Millis { return w.monotonic(m) }),
	}, opts...)...)
}
