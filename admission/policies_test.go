package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/routing"
)

var simPolicies = []string{"router", "router without admission", "round robin", "fewest requests", "fewest tokens", "power of two choices"}

var simSeeds = []uint64{1, 2, 3, 4, 5}

// steady returns arrivals at 16 a second, about half of the fleet's prefill rate.
func steady(seed uint64, seconds float64) []arrival {
	return generate(seed, seconds, func(float64) float64 { return 16 })
}

// surge returns 60 s of arrivals that rise from 10 to 100 a second within 5 s, hold for 20 s and fall again.
func surge(seed uint64) []arrival {
	return generate(seed, 60, func(second float64) float64 {
		return 10 + 90*max(0, min(1, (second-20)/5, (50-second)/5))
	})
}

func inSurge(a *answer) bool { return a.at > 25e6 && a.at < 45e6 }

// generate draws Poisson arrivals: 2 of 100 prompts have 100,000 to 300,000 tokens, 10 of 100 are medium, the rest is
// short, and 60% of the short ones start with one of 40 shared prefixes.
func generate(seed uint64, seconds float64, rate func(second float64) float64) []arrival {
	r := rand.New(rand.NewPCG(seed, 99))
	var list []arrival
	for t := 2.0; ; { // the first load reports arrive in the first 2 s
		t += r.ExpFloat64() / rate(t)
		if t > seconds {
			return list
		}
		a := arrival{at: int64(t * 1e6), decode: 30 + r.IntN(100), instance: r.IntN(simInstances), customer: poplarwinch.CustomerID(fmt.Sprint(r.IntN(10)))}
		prefix := r.Uint64()
		switch x := r.Float64(); {
		case x < 0.02:
			a.tokens, a.limit = 100_000+r.IntN(200_000), 90*clock.Second
		case x < 0.12:
			a.tokens, a.limit = 9000+r.IntN(20_000), 30*clock.Second
		default:
			a.tokens, a.limit = min(8000, 300+int(2000*math.Exp(0.6*r.NormFloat64()))), 15*clock.Second
			if r.Float64() < 0.6 {
				prefix = r.Uint64N(40) + 1
			}
		}
		a.class = routing.ClassOf(poplarwinch.Tokens(a.tokens))
		for k := range a.tokens / blockTokens {
			a.blocks = append(a.blocks, prefix*0x9e3779b97f4a7c15+uint64(k)*0xbf58476d1ce4e5b9)
			if k == 1 {
				prefix = r.Uint64()
			}
		}
		list = append(list, a)
	}
}

func withoutLong(arrivals []arrival) []arrival {
	return slices.DeleteFunc(slices.Clone(arrivals), func(a arrival) bool { return a.class == routing.ClassLong })
}

// quantile returns the q-quantile of the time to first token in milliseconds of the class.
func quantile(answers []*answer, class routing.Class, q float64) float64 {
	var list []float64
	for _, a := range answers {
		if a.class == class && a.first > 0 {
			list = append(list, a.first)
		}
	}
	if len(list) == 0 {
		return math.NaN()
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

func share(answers []*answer, part, of func(*answer) bool) float64 {
	n, all := 0, 0
	for _, a := range answers {
		if of(a) {
			all++
			if part(a) {
				n++
			}
		}
	}
	return 100 * float64(n) / float64(max(1, all))
}

// spread formats the median of the seeds' figures with their range.
func spread(figures []float64, format string) string {
	slices.Sort(figures)
	return fmt.Sprintf(format+" ("+format+"-"+format+")", figures[len(figures)/2], figures[0], figures[len(figures)-1])
}

// BenchmarkPolicies prints the tables of docs/policy.md.
func BenchmarkPolicies(b *testing.B) {
	violated := func(name, detail string) { b.Errorf("invariant %s broken: %s", name, detail) }
	for b.Loop() {
		var text strings.Builder
		for _, fifo := range []bool{false, true} {
			for _, policy := range simPolicies {
				figures := map[string][]float64{}
				add := func(name string, value float64) { figures[name] = append(figures[name], value) }
				for _, seed := range simSeeds {
					c := setup{policy: policy, admission: policy == "router", fifo: fifo, seed: seed, violated: violated}
					c.arrivals = steady(seed, 300)
					shared := simulate(c)
					c.arrivals = withoutLong(c.arrivals)
					unshared := simulate(c)
					for _, class := range []routing.Class{routing.ClassShort, routing.ClassMedium, routing.ClassLong} {
						for _, q := range []float64{0.5, 0.95, 0.99} {
							add(fmt.Sprint(class, q), quantile(shared, class, q))
						}
					}
					add("slowdown", quantile(shared, routing.ClassShort, 0.95)/quantile(unshared, routing.ClassShort, 0.95))
					c.arrivals = surge(seed)
					peak := simulate(c)
					add("in time", share(peak, func(a *answer) bool { return a.inTime }, inSurge))
					add("short in time", share(peak, func(a *answer) bool { return a.inTime }, func(a *answer) bool { return inSurge(a) && a.class == routing.ClassShort }))
					for _, class := range []routing.Class{routing.ClassMedium, routing.ClassLong} {
						add(string(class)+" in time", share(peak, func(a *answer) bool { return a.inTime }, func(a *answer) bool { return inSurge(a) && a.class == class }))
					}
					add("rejected", share(peak, func(a *answer) bool { return a.rejected }, inSurge))
				}
				fmt.Fprintf(&text, "\n%s (priorities %v)\n", policy, !fifo)
				for _, class := range []routing.Class{routing.ClassShort, routing.ClassMedium, routing.ClassLong} {
					for _, q := range []float64{0.5, 0.95, 0.99} {
						fmt.Fprintf(&text, "| %s", spread(figures[fmt.Sprint(class, q)], "%.0f"))
					}
					text.WriteString("\n")
				}
				fmt.Fprintf(&text, "slowdown %s in time %s short in time %s medium %s long %s rejected %s\n", spread(figures["slowdown"], "%.3f"),
					spread(figures["in time"], "%.1f"), spread(figures["short in time"], "%.1f"), spread(figures["medium in time"], "%.1f"), spread(figures["long in time"], "%.1f"), spread(figures["rejected"], "%.1f"))
			}
		}
		fmt.Println(text.String())
	}
}

// Guards against a change that lets long prompts slow short ones down or that rejects short prompts at a surge. The
// limit for the slowdown is the project's target.
func TestShortPromptsAreProtected(t *testing.T) {
	violated := func(name, detail string) { t.Errorf("invariant %s broken: %s", name, detail) }
	var slowdowns []float64
	for _, seed := range simSeeds[:3] {
		c := setup{policy: "router", admission: true, seed: seed, violated: violated, arrivals: steady(seed, 100)}
		shared := simulate(c)
		c.arrivals = withoutLong(c.arrivals)
		slowdowns = append(slowdowns, quantile(shared, routing.ClassShort, 0.95)/quantile(simulate(c), routing.ClassShort, 0.95))
		c.arrivals = surge(seed)
		short := func(a *answer) bool { return inSurge(a) && a.class == routing.ClassShort }
		if got := share(simulate(c), func(a *answer) bool { return a.inTime }, short); got < 99 {
			t.Errorf("seed %d: %.1f%% of the short prompts of the surge were answered in time, want 99%%", seed, got)
		}
	}
	slices.Sort(slowdowns)
	if slowdowns[1] > 1.10 {
		t.Errorf("p95 of short prompts sharing the fleet is %.3f times the unshared one, want at most 1.10", slowdowns[1])
	}
}
