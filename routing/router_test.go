package routing_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/routing"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Property tests use a fixed seed, so that every run checks the same cases.
func init() { flag.Set("rapid.seed", "1") }

const start clock.Millis = 1_000_000

// testFleet is a registry of engines with the model drafting in three failure domains.
type testFleet struct {
	registry *upstream.Registry
	router   *routing.Router
	manual   *clock.Manual
}

func newTestFleet(t rapid.TB, n int, opts ...routing.Option) *testFleet {
	m := clock.NewManual(start)
	violated := func(name, detail string) { t.Errorf("invariant %s broken: %s", name, detail) }
	f := &testFleet{registry: upstream.New(upstream.WithClock(m.Clock()), upstream.WithViolated(violated)), manual: m}
	f.router = routing.New(append([]routing.Option{
		routing.WithClock(m.Clock()), routing.WithViolated(violated), routing.WithRandom(rand.New(rand.NewPCG(1, 2)).Uint64),
	}, opts...)...)
	domains := []poplarwinch.FailureDomain{"port-of-spain", "chaguanas", "arima"}
	var list []upstream.Listed
	for i := range n {
		list = append(list, upstream.Listed{ID: id(i), Kind: upstream.KindEngine, FailureDomain: domains[i%3], Ready: true})
	}
	f.registry.Apply(list)
	for i := range n {
		f.observe(i, upstream.StateUp, 0)
	}
	return f
}

func id(i int) poplarwinch.UpstreamID {
	return poplarwinch.UpstreamID(fmt.Sprintf("engine-%03d", i))
}

func (f *testFleet) observe(i int, s upstream.State, waiting poplarwinch.Tokens) {
	f.manual.Advance(1)
	adapters := []upstream.LoadedAdapter{{Name: "letter"}}
	if i%3 == 1 {
		adapters = nil
	}
	f.registry.Merge([]upstream.Observation{{
		ID: id(i), At: f.manual.Now(), State: s, Models: []upstream.LoadedModel{{Name: "drafting", Adapters: adapters}},
		Load: upstream.Load{At: f.manual.Now(), WaitingPrefillTokens: waiting, PrefillTokensPerSecond: 20_000},
	}})
}

func prompt(tokens poplarwinch.Tokens, blocks ...uint64) *routing.Prompt {
	return &routing.Prompt{Model: "drafting", Tokens: tokens, Blocks: blocks, Class: routing.ClassOf(tokens)}
}

// Guards against decisions that violate a hard constraint, whatever the state of the engines.
func TestDecisionConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 9).Draw(t, "engines")
		f := newTestFleet(t, n, routing.WithFailureDomain("arima"))
		eligible := map[poplarwinch.UpstreamID]bool{}
		p := prompt(poplarwinch.Tokens(rapid.SampledFrom([]int{1, 8192, 20_000, 200_000}).Draw(t, "tokens")), 7, 8)
		p.Adapter = rapid.SampledFrom([]poplarwinch.AdapterName{"", "letter"}).Draw(t, "adapter")
		local := 0
		for i := range n {
			state := rapid.SampledFrom([]upstream.State{upstream.StateUp, upstream.StateUp, upstream.StateLeaving, upstream.StateDown}).Draw(t, "state")
			f.observe(i, state, poplarwinch.Tokens(rapid.IntRange(0, 1<<20).Draw(t, "waiting")))
			avoid := rapid.Bool().Draw(t, "avoid")
			if avoid {
				p.Avoid = append(p.Avoid, id(i))
			}
			if state == upstream.StateUp && !avoid && (p.Adapter == "" || i%3 != 1) {
				eligible[id(i)] = true
				if i%3 == 2 {
					local++
				}
			}
		}
		d, err := f.router.Engine(f.registry.Snapshot(), p)
		var typed *poplarwinch.Error
		if len(eligible) == 0 {
			if !errors.As(err, &typed) || typed.Kind != poplarwinch.KindUnavailable || typed.Outcome != poplarwinch.OutcomeNotRun || typed.Remedy == "" {
				t.Fatalf("without an eligible engine the error is %v", err)
			}
			return
		}
		if err != nil {
			t.Fatalf("Engine() = %v with eligible engines %v", err, eligible)
		}
		if local > 0 && d.Upstream.FailureDomain != "arima" || local == 0 && d.Reason != routing.ReasonOtherDomain {
			t.Fatalf("selected %s of %s for reason %s with %d local engines", d.Upstream.ID, d.Upstream.FailureDomain, d.Reason, local)
		}
		if d.Candidates[0].Upstream != d.Upstream || len(d.Candidates) > 4 {
			t.Fatalf("candidates %v don't start with the selected engine", d.Candidates)
		}
		for i, c := range d.Candidates {
			if !eligible[c.Upstream.ID] || slices.ContainsFunc(d.Candidates[:i], func(x routing.Candidate) bool { return x.Upstream == c.Upstream }) {
				t.Fatalf("candidate %d, %s, is not eligible or repeated", i, c.Upstream.ID)
			}
			if i > 1 && c.Predicted < d.Candidates[i-1].Predicted {
				t.Fatalf("failover list is not in order of prediction: %v", d.Candidates)
			}
		}
	})
}

// Guards against selecting an upstream that has begun to leave since the snapshot was taken.
func TestOldSnapshotDoesNotSelectLeaving(t *testing.T) {
	f := newTestFleet(t, 2)
	s := f.registry.Snapshot()
	f.observe(0, upstream.StateLeaving, 0)
	for range 20 {
		if d, err := f.router.Engine(s, prompt(10)); err != nil || d.Upstream.ID != id(1) || d.Reason != routing.ReasonOnly {
			t.Fatalf("selected %v, %v", d.Upstream, err)
		}
	}
}

// Guards against predictions that ignore a kind of work or count it twice.
func TestPrediction(t *testing.T) {
	for name, c := range map[string]struct {
		tokens  poplarwinch.Tokens
		prepare func(*testFleet, *upstream.Upstream)
		want    clock.Millis
	}{
		"idle":          {2000, func(*testFleet, *upstream.Upstream) {}, 100},
		"reported work": {2000, func(f *testFleet, _ *upstream.Upstream) { f.observe(0, upstream.StateUp, 40_000) }, 2100},
		"reported and drained": {2000, func(f *testFleet, _ *upstream.Upstream) {
			f.observe(0, upstream.StateUp, 40_000)
			f.manual.Advance(1000)
		}, 1100},
		"a silent engine may hang": {2000, func(f *testFleet, _ *upstream.Upstream) {
			f.observe(0, upstream.StateUp, 100_000)
			f.manual.Advance(60_000)
		}, 3100},
		"own work since the report": {2000, func(_ *testFleet, u *upstream.Upstream) { u.Begin(upstream.Work{Prefill: 20_000}) }, 1100},
		"own work in the report": {2000, func(f *testFleet, u *upstream.Upstream) {
			u.Begin(upstream.Work{Prefill: 20_000})
			f.manual.Advance(200)
			f.observe(0, upstream.StateUp, 20_000)
		}, 1100},
		"lower priority": {2000, func(_ *testFleet, u *upstream.Upstream) { u.Begin(upstream.Work{Prefill: 200_000, Priority: 2}) }, 150},
		"equal priority": {40_000, func(_ *testFleet, u *upstream.Upstream) { u.Begin(upstream.Work{Prefill: 20_000, Priority: 2}) }, 3000},
		"announced by a peer": {2000, func(f *testFleet, u *upstream.Upstream) {
			f.manual.Advance(1)
			f.registry.ReplaceAnnouncements("peer", []upstream.Announcement{{ID: u.ID, At: f.manual.Now(), Prefill: upstream.Prefill{Pending: [3]poplarwinch.Tokens{20_000}}}})
		}, 1100},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1, routing.WithInterference(0))
			u, _ := f.registry.Snapshot().Lookup(id(0))
			c.prepare(f, u)
			if d, err := f.router.Engine(f.registry.Snapshot(), prompt(c.tokens)); err != nil || d.Predicted != c.want {
				t.Fatalf("predicted %d ms, %v, want %d ms", d.Predicted, err, c.want)
			}
		})
	}
}

// Guards against short prompts that wait behind long ones while another engine has no long prefill.
func TestShortPromptsPreferEnginesWithoutLongPrefill(t *testing.T) {
	f := newTestFleet(t, 3)
	for i := range 2 {
		u, _ := f.registry.Snapshot().Lookup(id(i))
		u.Begin(upstream.Work{Prefill: 200_000, Priority: 2})
	}
	for _, block := range manyBlocks(50) {
		if d, _ := f.router.Engine(f.registry.Snapshot(), prompt(1000, block)); d.Upstream.ID != id(2) {
			t.Fatalf("selected %s for reason %s", d.Upstream.ID, d.Reason)
		}
	}
}

// Guards against long prompts that occupy all engines while most of the work is short, and against idle engines while
// the set for long prompts has a long queue.
func TestLongPromptsUseABoundedSet(t *testing.T) {
	f := newTestFleet(t, 12)
	engines := map[poplarwinch.UpstreamID]bool{}
	for i := range uint64(60) {
		for range 9 {
			f.router.Engine(f.registry.Snapshot(), prompt(8000))
		}
		d, _ := f.router.Engine(f.registry.Snapshot(), prompt(48_000, i))
		engines[d.Upstream.ID] = true
	}
	if n := len(engines); n < 3 || n > 6 {
		t.Errorf("long prompts with 40%% of the tokens used %d of 12 engines", n)
	}
	for i := range 12 {
		if engines[id(i)] {
			f.observe(i, upstream.StateUp, 400_000)
		}
	}
	if d, _ := f.router.Engine(f.registry.Snapshot(), prompt(48_000, 1)); engines[d.Upstream.ID] {
		t.Errorf("a long prompt waits %d ms in the set while other engines are idle", d.Predicted)
	}
}

// Guards against prompts of one conversation that are spread over engines, and against overloading one engine that has a
// popular prefix.
func TestPrefixChoiceHasBoundedLoad(t *testing.T) {
	f := newTestFleet(t, 12)
	first, _ := f.router.Engine(f.registry.Snapshot(), prompt(3000, 1, 2))
	f.router.Sent(first.Upstream, prompt(3000, 1, 2))
	for range 30 {
		d, _ := f.router.Engine(f.registry.Snapshot(), prompt(3000, 1, 2))
		if d.Upstream != first.Upstream || d.Reason != routing.ReasonPrefix || d.Candidates[0].Cached != 2000 {
			t.Fatalf("selected %s for reason %s with %d tokens cached", d.Upstream.ID, d.Reason, d.Candidates[0].Cached)
		}
	}
	first.Upstream.Begin(upstream.Work{Prefill: 20_000})
	if d, _ := f.router.Engine(f.registry.Snapshot(), prompt(3000, 1, 2)); d.Upstream == first.Upstream {
		t.Fatalf("the prefix choice was taken with %v against %v", d.Candidates[0], d.Candidates[1])
	}
}

// Guards against sending a conversation away from the engine that has its prefix cached after one turn went to an engine
// other than the hashed one.
func TestConversationFollowsItsCache(t *testing.T) {
	f := newTestFleet(t, 60)
	earlier, later := prompt(50_000, manyBlocks(48)...), prompt(52_000)
	later.Blocks = append(slices.Clone(earlier.Blocks), 1, 2)
	hashed, _ := f.router.Engine(f.registry.Snapshot(), earlier)
	elsewhere := hashed.Candidates[1].Upstream
	f.router.Sent(elsewhere, earlier)
	d, _ := f.router.Engine(f.registry.Snapshot(), later)
	if d.Upstream != elsewhere || d.Reason != routing.ReasonPrefix || d.Candidates[0].Cached < 45_000 {
		t.Fatalf("selected %v for reason %s, want %s", d.Candidates[0], d.Reason, elsewhere.ID)
	}
	if forecast, _ := f.router.Forecast(f.registry.Snapshot(), later); forecast.TimeToFirstToken > 1000 {
		t.Fatalf("the forecast of %d ms ignores the cache", forecast.TimeToFirstToken)
	}
}

// Guards against service calls to servers that are down, avoided or busier than needed.
func TestServer(t *testing.T) {
	m := clock.NewManual(start)
	r := upstream.New(upstream.WithClock(m.Clock()))
	var list []upstream.Listed
	for i := range 3 {
		list = append(list, upstream.Listed{ID: id(i), Kind: upstream.KindService, Pool: "bookings", Ready: i != 2, FailureDomain: "arima"})
	}
	r.Apply(list)
	router := routing.New(routing.WithClock(m.Clock()), routing.WithFailureDomain("arima"))
	busy, _ := r.Snapshot().Lookup(id(0))
	busy.Begin(upstream.Work{})
	for range 20 {
		if d, err := router.Server(r.Snapshot(), "bookings", nil); err != nil || d.Upstream.ID != id(1) {
			t.Fatalf("selected %v, %v", d.Upstream, err)
		}
	}
	if d, err := router.Server(r.Snapshot(), "bookings", []poplarwinch.UpstreamID{id(1)}); err != nil || d.Upstream != busy {
		t.Fatalf("selected %v, %v", d.Upstream, err)
	}
	var typed *poplarwinch.Error
	if _, err := router.Server(r.Snapshot(), "catalogue", nil); !errors.As(err, &typed) || typed.Kind != poplarwinch.KindUnavailable {
		t.Fatalf("Server() = %v", err)
	}
}

// BenchmarkEngine measures a decision among 290 engines of one failure domain; the target is under 5 us.
func BenchmarkEngine(b *testing.B) {
	for _, c := range []struct {
		name string
		p    *routing.Prompt
	}{
		{"without-prefix", prompt(500)},
		{"short", prompt(2000, 1, 2)},
		{"long", prompt(1_000_000, manyBlocks(1000)...)},
	} {
		p := c.p
		b.Run(c.name, func(b *testing.B) {
			f := newTestFleet(b, 290)
			for i := range 290 {
				u, _ := f.registry.Snapshot().Lookup(id(i))
				f.router.Sent(u, p)
				f.observe(i, upstream.StateUp, poplarwinch.Tokens(i*100))
			}
			r := routing.New(routing.WithClock(clock.System()), routing.WithPrefixIndex(f.router.Prefixes()))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := r.Engine(f.registry.Snapshot(), p); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("parallel", func(b *testing.B) {
		f := newTestFleet(b, 290)
		r := routing.New()
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			p := prompt(2000, 1, 2)
			for pb.Next() {
				if _, err := r.Engine(f.registry.Snapshot(), p); err != nil {
					b.Fatal(err)
				}
			}
		})
	})
}

// BenchmarkEngineBySize measures a decision for a short prompt by the number of engines of the failure domain.
func BenchmarkEngineBySize(b *testing.B) {
	for _, n := range []int{15, 73, 145, 290} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			f := newTestFleet(b, n)
			p := prompt(2000, 1, 2)
			r := routing.New(routing.WithClock(clock.System()))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := r.Engine(f.registry.Snapshot(), p); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkForecast measures the prediction that admission control makes for each request among 290 engines.
func BenchmarkForecast(b *testing.B) {
	f := newTestFleet(b, 290)
	b.ReportAllocs()
	for b.Loop() {
		f.router.Forecast(f.registry.Snapshot(), prompt(2000))
	}
}

func manyBlocks(n int) []uint64 {
	blocks, random := make([]uint64, n), rand.New(rand.NewPCG(3, 4))
	for i := range blocks {
		blocks[i] = random.Uint64()
	}
	return blocks
}
