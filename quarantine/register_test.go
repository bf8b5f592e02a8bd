package quarantine

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const start clock.Millis = 1_000_000

func newTest(t rapid.TB, m *clock.Manual, opts ...Option) *Register {
	violated := func(name, detail string) { t.Errorf("invariant %s broken: %s", name, detail) }
	return New(append([]Option{WithClock(m.Clock()), WithViolated(violated)}, opts...)...)
}

func fingerprint(i int) Fingerprint { return Of("a", "drafting", fmt.Append(nil, i)) }

// Guards against a caller that builds the fingerprint of another customer's request.
func TestFingerprintSeparatesItsParts(t *testing.T) {
	seen := map[Fingerprint]string{}
	for _, parts := range [][3]string{
		{"a", "drafting", "body"},
		{"ad", "rafting", "body"},
		{"a", "draftingb", "ody"},
		{"", "adrafting", "body"},
		{"a", "drafting", "body2"},
	} {
		f := Of(poplarwinch.CustomerID(parts[0]), poplarwinch.ModelName(parts[1]), []byte(parts[2]))
		if other, ok := seen[f]; ok {
			t.Errorf("%q has the fingerprint of %s", parts, other)
		}
		seen[f] = fmt.Sprint(parts)
	}
}

// Guards against a crashing request that keeps running, and against innocent requests that are rejected.
func TestVerdicts(t *testing.T) {
	run := func(g *Register, u poplarwinch.UpstreamID, f int) func() {
		end, _ := g.Start(u, fingerprint(f))
		return end
	}
	for name, c := range map[string]struct {
		steps func(*Register, *clock.Manual)
		want  Verdict
	}{
		"never ran": {func(*Register, *clock.Manual) {}, VerdictAllow},
		"ran on an engine that died": {func(g *Register, _ *clock.Manual) {
			run(g, "e1", 1)
			g.Died("e1")
		}, VerdictIsolate},
		"completed before the death": {func(g *Register, _ *clock.Manual) {
			end := run(g, "e1", 1)
			g.Completed("e1", fingerprint(1))
			end()
			g.Died("e1")
		}, VerdictAllow},
		"stream broke before the death was known": {func(g *Register, m *clock.Manual) {
			run(g, "e1", 1)()
			m.Advance(2500)
			g.Died("e1")
		}, VerdictIsolate},
		"ended long before the death": {func(g *Register, m *clock.Manual) {
			run(g, "e1", 1)()
			m.Advance(3500)
			g.Died("e1")
		}, VerdictAllow},
		"second crash in isolation": {func(g *Register, _ *clock.Manual) {
			run(g, "e1", 1)
			g.Died("e1")
			run(g, "e2", 1)
			g.Died("e2")
		}, VerdictReject},
		"copies on two engines": {func(g *Register, _ *clock.Manual) {
			run(g, "e1", 1)
			run(g, "e2", 1)
			g.Died("e1")
			g.Died("e2")
		}, VerdictReject},
		"same death seen by two instances": {func(g *Register, m *clock.Manual) {
			run(g, "e1", 1)
			g.Died("e1")
			g.Merge([]Suspect{{Fingerprint: fingerprint(1), Deaths: []Death{{"e1", m.Now() - 400}}}})
		}, VerdictIsolate},
		"second crash seen by a peer": {func(g *Register, m *clock.Manual) {
			run(g, "e1", 1)
			g.Died("e1")
			g.Merge([]Suspect{{Fingerprint: fingerprint(1), Deaths: []Death{{"e2", m.Now()}}}})
		}, VerdictReject},
		"suspicion expired": {func(g *Register, m *clock.Manual) {
			run(g, "e1", 1)
			g.Died("e1")
			m.Advance(10 * clock.Minute)
		}, VerdictAllow},
		"rejected for ten minutes after the second crash": {func(g *Register, m *clock.Manual) {
			run(g, "e1", 1)
			g.Died("e1")
			m.Advance(9 * clock.Minute)
			run(g, "e2", 1)
			g.Died("e2")
			m.Advance(9 * clock.Minute)
		}, VerdictReject},
	} {
		t.Run(name, func(t *testing.T) {
			m := clock.NewManual(start)
			g := newTest(t, m)
			c.steps(g, m)
			if got := g.Check(fingerprint(1)); got != c.want {
				t.Fatalf("verdict %s, want %s", got, c.want)
			}
			if _, ok := g.Start("e9", fingerprint(1)); ok == (c.want == VerdictReject) {
				t.Fatalf("Start() = %v for verdict %s", ok, c.want)
			}
		})
	}
}

// Guards against two suspects on one engine, whose death would then accuse both, and against a suspect that crashes
// several engines at once.
func TestSuspectsRunInIsolation(t *testing.T) {
	m := clock.NewManual(start)
	g := newTest(t, m)
	for i := range 2 {
		g.Start("e1", fingerprint(i))
	}
	g.Died("e1")
	end, ok := g.Start("e2", fingerprint(0))
	if !ok {
		t.Fatal("a suspect could not start on an idle engine")
	}
	for _, c := range []struct {
		u    poplarwinch.UpstreamID
		f    int
		want bool
	}{{"e2", 1, false}, {"e3", 0, false}, {"e2", 5, true}, {"e3", 1, true}} {
		if _, ok := g.Start(c.u, fingerprint(c.f)); ok != c.want {
			t.Errorf("Start(%s, %d) = %v, want %v", c.u, c.f, ok, c.want)
		}
	}
	end()
	end()
	if _, ok := g.Start("e2", fingerprint(0)); !ok {
		t.Error("a suspect could not start after its first run had ended")
	}
}

// Guards against instances that disagree about a suspect because gossip reached them in another order.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deaths := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Suspect {
			// Reports of one death lie within the tolerance, and different deaths of an engine far apart.
			at := start - clock.Minute*clock.Millis(rapid.IntRange(0, 3).Draw(t, "minute")) + clock.Millis(rapid.IntRange(-900, 0).Draw(t, "skew"))
			return Suspect{Fingerprint: fingerprint(rapid.IntRange(0, 1).Draw(t, "f")), Deaths: []Death{{
				Upstream: rapid.SampledFrom([]poplarwinch.UpstreamID{"e1", "e2"}).Draw(t, "u"), At: at,
			}}}
		}), 1, 8).Draw(t, "deaths")
		m := clock.NewManual(start)
		a, b, c := newTest(t, m), newTest(t, m), newTest(t, m)
		a.Merge(deaths)
		for _, s := range rapid.Permutation(deaths).Draw(t, "order") {
			b.Merge([]Suspect{s})
		}
		c.Merge(a.Suspects())
		if x, y, z := fmt.Sprint(a.Suspects()), fmt.Sprint(b.Suspects()), fmt.Sprint(c.Suspects()); x != y || x != z {
			t.Fatalf("registers differ:\n%s\n%s\n%s", x, y, z)
		}
	})
}

// Guards against memory that grows with crashes, and against dropping a rejected request to keep a mere suspect.
func TestLimitKeepsRejectedRequests(t *testing.T) {
	m := clock.NewManual(start)
	g := newTest(t, m, WithLimit(3))
	for _, u := range []poplarwinch.UpstreamID{"e1", "e2"} {
		g.Start(u, fingerprint(0))
		g.Died(u)
	}
	for i := range 10 {
		m.Advance(1)
		g.Start("e3", fingerprint(100+i))
		g.Died("e3")
	}
	if n := len(g.Suspects()); n != 3 || g.Check(fingerprint(0)) != VerdictReject || g.Check(fingerprint(109)) != VerdictIsolate {
		t.Fatalf("%d suspects, verdicts %s and %s", n, g.Check(fingerprint(0)), g.Check(fingerprint(109)))
	}
}
