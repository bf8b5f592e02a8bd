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

// steady returns arrivals at 16 per second, about half of the engines' total prefill rate.
func steady(seed uint64, seconds float64) []arrival {
	return generate(seed, seconds, func(float64) float64 { return 16 })
}

// surge returns 60 s of arrivals whose rate rises from 10 to 100 per second within 5 s, stays there for 20 s and falls.
func surge(seed uint64) []arrival {
	return generate(seed, 60, func(second float64) float64 {
		return 10 + 90*max(0, min(1, (second-20)/5, (50-second)/5))
	})
}

// inSurge reports whether the request arrived at the highest rate.
func inSurge(a *answer) bool { return a.atMicros > 25e6 && a.atMicros < 45e6 }

// generate draws Poisson arrivals: 2% of the prompts have 100,000 to 300,000 tokens, 10% are medium and the rest are
// short. 60% of the short ones start with one of 40 shared prefixes.
func generate(seed uint64, seconds float64, rate func(second float64) float64) []arrival {
	r := rand.New(rand.NewPCG(seed, 99))
	var list []arrival
	for t := 2.0; ; { // the first load reports arrive in the first 2 s
		t += r.ExpFloat64() / rate(t)
		if t > seconds {
			return list
		}
		a := arrival{atMicros: int64(t * 1e6), decode: 30 + r.IntN(100), instance: r.IntN(simInstances), customer: poplarwinch.CustomerID(fmt.Sprint(r.IntN(10)))}
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

// withoutLong returns the arrivals without long prompts.
func withoutLong(arrivals []arrival) []arrival {
	return slices.DeleteFunc(slices.Clone(arrivals), func(a arrival) bool { return a.class == routing.ClassLong })
}

// quantile returns the q-quantile of the class's time to first token in milliseconds.
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

// percentage returns the percentage of answers selected by part among those selected by of.
func percentage(answers []*answer, part, of func(*answer) bool) float64 {
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

// table collects one value per seed for each column and prints the medians with their ranges.
type table struct {
	columns []string
	figures map[string][]float64
}

func (t *table) add(column string, figure float64) {
	if t.figures[column] == nil {
		t.columns = append(t.columns, column)
	}
	t.figures[column] = append(t.figures[column], figure)
}

func (t *table) print(policy string, header bool) {
	if header {
		fmt.Printf("\n| policy | %s |\n|%s\n", strings.Join(t.columns, " | "), strings.Repeat(" --- |", len(t.columns)+1))
	}
	fmt.Printf("| %s |", policy)
	for _, column := range t.columns {
		f := t.figures[column]
		slices.Sort(f)
		fmt.Printf(" %s (%s-%s) |", formatFigure(f[len(f)/2]), formatFigure(f[0]), formatFigure(f[len(f)-1]))
	}
	fmt.Println()
}

// formatFigure formats a value with three significant digits, or as an integer from 100.
func formatFigure(f float64) string {
	if f >= 100 {
		return fmt.Sprintf("%.0f", f)
	}
	return fmt.Sprintf("%.3g", f)
}

// BenchmarkPolicies prints the tables of docs/policy.md.
func BenchmarkPolicies(b *testing.B) {
	violated := func(name, detail string) { b.Errorf("invariant %s broken: %s", name, detail) }
	classes := []routing.Class{routing.ClassShort, routing.ClassMedium, routing.ClassLong}
	for b.Loop() {
		for _, fifo := range []bool{false, true} {
			var latency, peak []*table
			for _, policy := range simPolicies {
				steadyTable, surgeTable := &table{figures: map[string][]float64{}}, &table{figures: map[string][]float64{}}
				for _, seed := range simSeeds {
					c := setup{policy: policy, admission: policy == "router", fifo: fifo, seed: seed, violated: violated, arrivals: steady(seed, 300)}
					shared := simulate(c)
					c.arrivals = withoutLong(c.arrivals)
					unshared := simulate(c)
					for _, class := range classes {
						for _, q := range []float64{0.5, 0.95, 0.99} {
							steadyTable.add(fmt.Sprintf("%s p%.0f", class, 100*q), quantile(shared, class, q))
						}
					}
					steadyTable.add("slowdown", quantile(shared, routing.ClassShort, 0.95)/quantile(unshared, routing.ClassShort, 0.95))
					c.arrivals = surge(seed)
					answers := simulate(c)
					inTime := func(a *answer) bool { return a.inTime }
					surgeTable.add("all", percentage(answers, inTime, inSurge))
					for _, class := range classes {
						surgeTable.add(string(class), percentage(answers, inTime, func(a *answer) bool { return inSurge(a) && a.class == class }))
					}
					peakAnswers := slices.DeleteFunc(slices.Clone(answers), func(a *answer) bool { return !inSurge(a) })
					surgeTable.add("short p95 ms", quantile(peakAnswers, routing.ClassShort, 0.95))
					surgeTable.add("rejected", percentage(answers, func(a *answer) bool { return a.rejected }, inSurge))
				}
				latency, peak = append(latency, steadyTable), append(peak, surgeTable)
			}
			fmt.Println("\nengines honour priorities:", !fifo)
			for _, tables := range [][]*table{latency, peak} {
				for i, t := range tables {
					t.print(simPolicies[i], i == 0)
				}
			}
		}
	}
}

// Guards against long prompts that slow down short ones, and against short prompts that are not answered in time during a
// surge. The limit of the slowdown is the project's target.
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
		if got := percentage(simulate(c), func(a *answer) bool { return a.inTime }, short); got < 99 {
			t.Errorf("seed %d: %.1f%% of the short prompts of the surge were answered in time, want 99%%", seed, got)
		}
	}
	slices.Sort(slowdowns)
	if slowdowns[1] > 1.10 {
		t.Errorf("p95 of short prompts sharing the fleet is %.3f times the unshared one, want at most 1.10", slowdowns[1])
	}
}
