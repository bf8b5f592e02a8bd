package assignment_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/route"
)

// largePool returns the parameters of the engines of a larger deployment.
func largePool() *route.Pool {
	p := pool()
	p.Slots, p.MemoryTokens, p.Stride = 12, 344_250, 38
	return p
}

// class is a kind of prompt with the sizes and arrival rates of a larger deployment.
type class struct {
	name                              string
	perSecond                         float64
	tokens                            float64
	relativeSpread                    float64
	maxTokens                         float64
	events                            float64
	targetMillis                      float64
	maxPauseMillis                    float64
	worth                             float64
	callerTimeoutMillis               float64
	longPhaseFactor, shortPhaseFactor float64
}

func classes() []class {
	return []class{
		{"short", 62.8, 5000, 0.9, 23_800, 36, 300, 250, 1.3, 2000, 0.35, 2.4},
		{"medium", 4.41, 45_000, 0.5, 110_000, 21, 1500, 600, 3.3, 6000, 1.3, 0.5},
		{"long", 1.43, 260_000, 0.55, 900_000, 18, 4000, 1000, 34, 15_000, 2.7, 0.05},
	}
}

// logNormal returns a log-normal sample with a mean and a relative spread, at most limit.
func logNormal(r *rand.Rand, mean, spread, limit float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(limit, mean*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}

// largeAlternatingMix returns the arrivals of a larger deployment by class. The mix alternates every ten seconds while
// the load of each failure domain rises and falls in turn.
func largeAlternatingMix(seed uint64) map[string][]*job {
	r := rand.New(rand.NewPCG(seed, 2))
	jobs := map[string][]*job{}
	const spanMillis = 40_000.0
	for _, k := range classes() {
		for d := range 3 {
			peak := k.perSecond / 3 * max(k.longPhaseFactor, k.shortPhaseFactor) * 1.55
			for at := r.ExpFloat64() * 1000 / peak; at < spanMillis; at += r.ExpFloat64() * 1000 / peak {
				x := k.longPhaseFactor
				if int(at/10_000)%2 == 1 {
					x = k.shortPhaseFactor
				}
				rate := k.perSecond / 3 * x * (1 + 0.55*math.Sin(2*math.Pi*(at/15_000+float64(d)*0.1)))
				if r.Float64()*peak > rate {
					continue
				}
				tokens := logNormal(r, k.tokens, k.relativeSpread, k.maxTokens)
				events := max(1, int(logNormal(r, k.events, 0.6, 2.5*k.events)))
				worth := k.worth * min(4, 0.3+0.7*tokens/k.tokens)
				p := &assignment.Prompt{
					Tokens: poplarwinch.Tokens(tokens), AnswerTokens: poplarwinch.Tokens(events * 38), MaxPause: ms(k.maxPauseMillis),
					Target: ms(k.targetMillis), FullTarget: ms(k.targetMillis), TimeLeft: ms(max(10_000, k.callerTimeoutMillis)),
					CallerTimeout: ms(k.callerTimeoutMillis), FullCallerTimeout: ms(k.callerTimeoutMillis), Domain: poplarwinch.FailureDomain(string(rune('a' + d))),
				}
				jobs[k.name] = append(jobs[k.name], &job{prompt: p, arrivedMillis: at, worth: worth, events: events})
			}
		}
	}
	return jobs
}

func ms(v float64) clock.Millis { return clock.Millis(v) }

// The load of a larger deployment: 45 engines in three failure domains, a mix that alternates between long and short
// prompts, and load waves that reach the failure domains one after the other. Guards against policies that leave the
// engines of one failure domain idle while another one serves its callers late, and against long prompts that wait
// behind a few short streams.
func TestLargeAlternatingMix(t *testing.T) {
	const engineCount = 45
	earned := map[string]float64{}
	const seeds = 4
	var mutex sync.Mutex
	var runs sync.WaitGroup
	for seed := range uint64(seeds) {
		runs.Go(func() {
			s := newSimulation(t, engineCount)
			s.pool = largePool()
			for _, e := range s.simulatedEngines {
				e.candidate.LoadKnown, e.candidate.Slots = true, s.pool.Slots
			}
			jobs := largeAlternatingMix(seed)
			var all []*job
			for _, k := range classes() {
				all = append(all, jobs[k.name]...)
			}
			slices.SortStableFunc(all, func(a, b *job) int { return cmp.Compare(a.arrivedMillis, b.arrivedMillis) })
			s.play(all, 60_000)
			mutex.Lock()
			defer mutex.Unlock()
			earned["all"] += earnedFraction(all) / seeds
			for _, k := range classes() {
				list := jobs[k.name]
				earned[k.name] += earnedFraction(list) / seeds
				t.Logf("seed %d: %d %s prompts, %.3f in time, %.3f of the worth", seed, len(list), k.name, inTimeFraction(list), earnedFraction(list))
			}
		})
	}
	runs.Wait()
	t.Logf("mean %v", earned)
	if want := 0.68; earned["all"] < want {
		t.Errorf("callers got %.3f of the worth, want %.2f", earned["all"], want)
	}
}

// earnedFraction returns the fraction of the jobs' worth that their callers got.
func earnedFraction(jobs []*job) float64 {
	owed, got := 0.0, 0.0
	for _, j := range jobs {
		owed += j.worth
		got += j.earnedWorth()
	}
	return got / owed
}
