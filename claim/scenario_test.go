package claim_test

import (
	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/memory"
)

const (
	// quiet is the time after which a scenario has no more faults and all background work must end.
	quiet = 60 * clock.Second
	// timeLimit is the longest time limit of calls in scenarios.
	timeLimit = 8 * clock.Second
)

// request is a call that reaches an instance; the reaction is that of the upstream.
type request struct {
	at, takes clock.Millis
	instance  int
	key       int
	reaction  string
}

// scenario is a series of calls and faults.
type scenario struct {
	requests []request
	latency  clock.Millis
	effects  []memory.Effect
	outages  []memory.Outage
	// pauses and deaths are by instance; a death at 0 means none.
	pauses []memory.Outage
	deaths []clock.Millis
}

// millis draws one of 64 evenly spread values. Each bit is drawn on its own, as rapid prefers small integers, which would
// place most faults and deaths at the start.
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

func spans(longest clock.Millis) *rapid.Generator[memory.Outage] {
	return rapid.Custom(func(t *rapid.T) memory.Outage {
		from := millis(0, 4000).Draw(t, "from")
		return memory.Outage{From: from, To: from + millis(0, longest).Draw(t, "length")}
	})
}

func scenarios(mayDie bool) *rapid.Generator[scenario] {
	kinds := []memory.Kind{memory.OK, memory.OK, memory.Rejected, memory.LostReply, memory.Late, memory.Dropped}
	return rapid.Custom(func(t *rapid.T) scenario {
		n := rapid.IntRange(1, 4).Draw(t, "instances")
		death := rapid.Just(clock.Millis(0))
		if mayDie {
			death = rapid.OneOf(death, millis(1, 8000))
		}
		return scenario{
			requests: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) request {
				return request{
					// Few distinct times make repeats at the same moment likely.
					at: millis(0, 6300).Draw(t, "at"), takes: millis(0, 2000).Draw(t, "takes"),
					instance: rapid.IntRange(0, n-1).Draw(t, "instance"), key: rapid.IntRange(0, 1).Draw(t, "key"),
					reaction: rapid.SampledFrom([]string{"answer", "answer", "large", "refuse", "break"}).Draw(t, "reaction"),
				}
			}), 1, 12).Draw(t, "requests"),
			latency: rapid.SampledFrom([]clock.Millis{2, 60, 600}).Draw(t, "latency"),
			effects: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) memory.Effect {
				return memory.Effect{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Late: millis(0, 20_000).Draw(t, "late")}
			}), 0, 40).Draw(t, "effects"),
			outages: rapid.SliceOfN(spans(15_000), 0, 2).Draw(t, "outages"),
			pauses:  rapid.SliceOfN(spans(20_000), n, n).Draw(t, "pauses"),
			deaths:  rapid.SliceOfN(death, n, n).Draw(t, "deaths"),
		}
	})
}
