package claim_test

import (
	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/memory"
	"github.com/poplarwinch/poplarwinch/emulator/property"
)

const (
	// faultsEnd is the time in a scenario by which all faults and all background work must have ended.
	faultsEnd = 60 * clock.Second
	// timeLimit is the timeout of calls in scenarios.
	timeLimit = 8 * clock.Second
)

// request is a call that arrives at an instance at the time at. The upstream takes processingTime for it, and reaction
// is how the upstream reacts.
type request struct {
	at, processingTime clock.Millis
	instance           int
	key                int
	reaction           string
}

// scenario is a set of calls and of faults injected into a simulation.
type scenario struct {
	requests []request
	latency  clock.Millis
	effects  []memory.Effect
	outages  []memory.Outage
	// pauses and crashes are by instance; a crash at 0 means none.
	pauses  []memory.Outage
	crashes []clock.Millis
	// At restoreAt the table is restored to its state of restoreAge earlier, unless restoreAge is 0.
	restoreAt, restoreAge clock.Millis
}

// spans draws intervals of up to longest.
func spans(longest clock.Millis) *rapid.Generator[memory.Outage] {
	return rapid.Custom(func(t *rapid.T) memory.Outage {
		from := property.MillisBetween(0, 4000).Draw(t, "from")
		return memory.Outage{From: from, To: from + property.MillisBetween(0, longest).Draw(t, "length")}
	})
}

func scenarios(mayCrash bool) *rapid.Generator[scenario] {
	kinds := []memory.Kind{memory.OK, memory.OK, memory.Rejected, memory.LostReply, memory.Late, memory.Dropped}
	return rapid.Custom(func(t *rapid.T) scenario {
		n := rapid.IntRange(1, 4).Draw(t, "instances")
		crash := rapid.Just(clock.Millis(0))
		if mayCrash {
			crash = rapid.OneOf(crash, property.MillisBetween(1, 8000))
		}
		return scenario{
			requests: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) request {
				return request{
					// With few distinct times, simultaneous repeats are likely.
					at: property.MillisBetween(0, 6300).Draw(t, "at"), processingTime: property.MillisBetween(0, 2000).Draw(t, "takes"),
					instance: rapid.IntRange(0, n-1).Draw(t, "instance"), key: rapid.IntRange(0, 1).Draw(t, "key"),
					reaction: rapid.SampledFrom([]string{"answer", "answer", "large", "refuse", "break"}).Draw(t, "reaction"),
				}
			}), 1, 12).Draw(t, "requests"),
			latency: rapid.SampledFrom([]clock.Millis{2, 60, 600}).Draw(t, "latency"),
			effects: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) memory.Effect {
				return memory.Effect{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Late: property.MillisBetween(0, 20_000).Draw(t, "late")}
			}), 0, 40).Draw(t, "effects"),
			outages: rapid.SliceOfN(spans(15_000), 0, 2).Draw(t, "outages"),
			pauses:  rapid.SliceOfN(spans(20_000), n, n).Draw(t, "pauses"),
			crashes: rapid.SliceOfN(crash, n, n).Draw(t, "deaths"),
		}
	})
}
