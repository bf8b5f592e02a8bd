package lease_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/lease"
	"github.com/poplarwinch/poplarwinch/table"
)

const (
	// end is when a scenario ends; quiet is when its last fault has ended.
	end   = 120 * clock.Second
	quiet = 80 * clock.Second
)

var errFault = errors.New("injected fault")

// machine is one instance's pause and the fault of its clocks.
type machine struct {
	from, to clock.Millis
	// fault is "suspend": the monotonic clock stands still during the pause; "back": the wall clock is set back by a
	// minute at the start of the pause; "ahead": the wall clock is a minute ahead; or "none".
	fault string
	skew  clock.Millis
}

// effect is what happens to one table operation: "ok", "rejected", "lost reply", "dropped" or "late".
type effect struct {
	what string
	late clock.Millis
}

type scenario struct {
	machines []machine
	effects  []effect
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
	return rapid.Custom(func(t *rapid.T) scenario {
		s := scenario{
			machines: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) machine {
				from := millis(0, 50_000).Draw(t, "from")
				return machine{
					from: from, to: from + millis(0, 30_000).Draw(t, "length"), skew: millis(-240, 240).Draw(t, "skew"),
					fault: rapid.SampledFrom([]string{"none", "suspend", "back", "ahead"}).Draw(t, "fault"),
				}
			}), 2, 4).Draw(t, "machines"),
			effects: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) effect {
				return effect{
					what: rapid.SampledFrom([]string{"ok", "ok", "ok", "rejected", "lost reply", "late", "dropped"}).Draw(t, "what"),
					late: millis(0, 15_000).Draw(t, "late"),
				}
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

type state struct {
	at     clock.Millis
	row    table.Row
	exists bool
}

// world runs inside a synctest bubble, so its time is virtual.
type world struct {
	scenario   scenario
	clock      *clock.Clock
	start      clock.Millis
	mutex      sync.Mutex
	operations int
	attempts   int
	states     []state
	late       sync.WaitGroup
}

func (w *world) now() clock.Millis { return w.clock.Now() - w.start }

func (w *world) wall(m machine) clock.Millis {
	now := w.clock.Now() + m.skew
	switch {
	case m.fault == "back" && w.now() >= m.from:
		now -= clock.Minute
	case m.fault == "ahead":
		now += clock.Minute
	}
	return now
}

func (w *world) monotonic(m machine) clock.Millis {
	now := w.now()
	if m.fault == "suspend" && now > m.from {
		now -= min(now, m.to) - m.from
	}
	return now
}

// pass holds up a machine during its pause.
func (w *world) pass(m machine) {
	if now := w.now(); now >= m.from && now < m.to {
		time.Sleep((m.to - now).Duration())
	}
}

func (w *world) next() effect {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	n, now := w.operations, w.now()
	w.operations++
	switch {
	case now >= w.scenario.from && now < w.scenario.to:
		return effect{what: []string{"dropped", "rejected"}[n%2]}
	case n < len(w.scenario.effects) && now < quiet:
		return w.scenario.effects[n]
	}
	return effect{what: "ok"}
}

// call runs apply as the effect of a call; it returns errFault if there is no reply.
func (w *world) call(m machine, apply func()) (rejected bool, err error) {
	w.pass(m)
	defer w.pass(m)
	e := w.next()
	time.Sleep(2 * time.Millisecond)
	switch e.what {
	case "rejected":
		return true, errFault
	case "late":
		w.late.Go(func() {
			time.Sleep(e.late.Duration())
			apply()
		})
	case "ok", "lost reply":
		apply()
	}
	if e.what == "ok" {
		return false, nil
	}
	time.Sleep(time.Second)
	return false, errFault
}

func (w *world) current() state {
	if len(w.states) == 0 {
		return state{}
	}
	return w.states[len(w.states)-1]
}

func (w *world) restore() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	old := state{}
	for _, s := range w.states {
		if s.at <= w.now()-w.scenario.age {
			old = s
		}
	}
	old.at = w.now()
	w.states = append(w.states, old)
}

func (w *world) lease(i int, opts ...lease.Option) *lease.Lease {
	m := w.scenario.machines[i]
	return lease.New(append([]lease.Option{
		lease.WithKey("lease/arima"), lease.WithHolder(poplarwinch.InstanceID(fmt.Sprint("instance-", i))),
		lease.WithClock(w.clock), lease.WithLog(&log.Logger{Handler: discard.Default}),
		lease.WithWall(func() clock.Millis { return w.wall(m) }),
		lease.WithMonotonic(func() clock.Millis { return w.monotonic(m) }),
		lease.WithAttemptIDs(func() string {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.attempts++
			return fmt.Sprint(w.attempts)
		}),
		lease.WithTable(func(_ context.Context, key string) (table.Row, bool, error) {
			var s state
			if _, err := w.call(m, func() {
				w.mutex.Lock()
				defer w.mutex.Unlock()
				s = w.current()
			}); err != nil {
				return table.Row{}, false, &table.UnavailableError{Key: key, Cause: err}
			}
			return s.row, s.exists, nil
		}, func(_ context.Context, row table.Row, condition table.Condition) error {
			var failed bool
			rejected, err := w.call(m, func() {
				w.mutex.Lock()
				defer w.mutex.Unlock()
				c := w.current()
				if failed = !condition.Holds(c.row, c.exists); !failed {
					w.states = append(w.states, state{at: w.now(), row: row, exists: true})
				}
			})
			switch {
			case rejected:
				return &table.UnavailableError{Key: row.Key, Cause: err}
			case err != nil:
				return &table.UncertainError{Key: row.Key, Cause: err}
			case failed:
				return table.ErrConditionFailed
			}
			return nil
		}),
	}, opts...)...)
}
