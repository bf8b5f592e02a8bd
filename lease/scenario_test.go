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
	"github.com/poplarwinch/poplarwinch/emulator/property"
	"github.com/poplarwinch/poplarwinch/lease"
)

const (
	// scenarioEnd is the time at which a scenario ends.
	scenarioEnd = 150 * clock.Second
	// faultsEnd is the time in a scenario by which all injected faults have ended.
	faultsEnd = 110 * clock.Second
)

// machine is the machine of one instance. It is paused between from and to, and its wall clock is off by skew in
// addition to fault.
type machine struct {
	from, to clock.Millis
	// fault is the clock fault: "suspend" stops the monotonic clock during the pause; "back" sets the wall clock back by
	// a minute at the start of the pause; "ahead" sets the wall clock a minute ahead; "none" is no fault.
	fault string
	skew  clock.Millis
}

// scenario is a set of machines and the faults injected into a simulation.
type scenario struct {
	machines []machine
	// effects are the results of the table operations, in order: success or a fault.
	effects []memory.Effect
	// The table is out of service between from and to. At restoreAt it is restored to its state of restoreAge earlier,
	// unless restoreAge is 0, and nextRestore later to that of nextAge earlier, unless nextAge is 0.
	from, to, restoreAt, restoreAge, nextRestore, nextAge clock.Millis
}

func scenarios() *rapid.Generator[scenario] {
	kinds := []memory.Kind{memory.OK, memory.OK, memory.OK, memory.Rejected, memory.LostReply, memory.Late, memory.Dropped}
	return rapid.Custom(func(t *rapid.T) scenario {
		s := scenario{
			machines: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) machine {
				from := property.MillisBetween(0, 50_000).Draw(t, "from")
				return machine{
					from: from, to: from + property.MillisBetween(0, 60_000).Draw(t, "length"), skew: property.MillisBetween(-240, 240).Draw(t, "skew"),
					fault: rapid.SampledFrom([]string{"none", "suspend", "back", "ahead"}).Draw(t, "fault"),
				}
			}), 2, 4).Draw(t, "machines"),
			effects: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) memory.Effect {
				return memory.Effect{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Late: property.MillisBetween(0, 15_000).Draw(t, "late")}
			}), 0, 60).Draw(t, "effects"),
			from: property.MillisBetween(0, 60_000).Draw(t, "outage"), restoreAt: property.MillisBetween(0, 60_000).Draw(t, "restored"),
			restoreAge:  rapid.OneOf(rapid.Just(clock.Millis(0)), property.MillisBetween(1, 30_000)).Draw(t, "age"),
			nextRestore: property.MillisBetween(0, 30_000).Draw(t, "again"),
			nextAge:     rapid.OneOf(rapid.Just(clock.Millis(0)), property.MillisBetween(1, 30_000)).Draw(t, "next age"),
		}
		// After a restore only the wall clock keeps tokens increasing, so wall clocks must stay within maxClockSkew then.
		for i := range s.machines {
			if m := &s.machines[i]; s.restoreAge > 0 && (m.fault == "back" || m.fault == "ahead") {
				m.fault = "none"
			}
		}
		s.to = s.from + property.MillisBetween(0, 20_000).Draw(t, "length")
		return s
	})
}

// simulation runs leases on an emulated table. It runs inside a synctest bubble, so its time is virtual.
type simulation struct {
	scenario scenario
	platform *memory.Platform
	clock    *clock.Clock
}

func newSimulation(s scenario) *simulation {
	return &simulation{scenario: s, clock: clock.System(), platform: memory.New(
		memory.WithEffects(s.effects, faultsEnd), memory.WithOutages(memory.Outage{From: s.from, To: s.to}),
	)}
}

// wall returns the time of a machine's wall clock.
func (s *simulation) wall(m machine) clock.Millis {
	now := s.clock.Now() + m.skew
	switch {
	case m.fault == "back" && s.platform.Now() >= m.from:
		now -= clock.Minute
	case m.fault == "ahead":
		now += clock.Minute
	}
	return now
}

// monotonic returns the time of a machine's monotonic clock.
func (s *simulation) monotonic(m machine) clock.Millis {
	now := s.platform.Now()
	if m.fault == "suspend" && now > m.from {
		now -= min(now, m.to) - m.from
	}
	return now
}

// applyPause blocks until the machine's pause has ended, if it is paused.
func (s *simulation) applyPause(m machine) {
	if now := s.platform.Now(); now >= m.from && now < m.to {
		time.Sleep((m.to - now).Duration())
	}
}

func (s *simulation) lease(i int, opts ...lease.Option) *lease.Lease {
	m := s.scenario.machines[i]
	c := s.platform.Client(func() { s.applyPause(m) })
	return lease.New(append([]lease.Option{
		lease.WithKey("lease/arima"), lease.WithHolder(poplarwinch.InstanceID(fmt.Sprint("instance-", i))),
		lease.WithTable(c.Get, c.Put), lease.WithLog(&log.Logger{Handler: discard.Default}),
		lease.WithWallClock(func() clock.Millis { return s.wall(m) }),
		lease.WithMonotonicClock(func() clock.Millis { return s.monotonic(m) }),
	}, opts...)...)
}
