package quarantine

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// The seed is fixed, so that every run of the property tests checks the same cases.
func init() { flag.Set("rapid.seed", "1") }

const start clock.Millis = 1_000_000

func newTest(t rapid.TB, m *clock.Manual, opts ...Option) *Register {
	violated := func(name, detail string) { t.Errorf("invariant %s broken: %s", name, detail) }
	return New(append([]Option{WithClock(m.Clock()), WithViolated(violated)}, opts...)...)
}

func fingerprint(i int) Fingerprint { return FingerprintOf("a", "drafting", fmt.Append(nil, i)) }

// Guards against forging the fingerprint of another customer's request by moving bytes between the parts.
func TestFingerprintSeparatesItsParts(t *testing.T) {
	seen := map[Fingerprint]string{}
	for _, parts := range [][3]string{
		{"a", "drafting", "body"},
		{"ad", "rafting", "body"},
		{"a", "draftingb", "ody"},
		{"", "adrafting", "body"},
		{"a", "drafting", "body2"},
	} {
		f := FingerprintOf(poplarwinch.CustomerID(parts[0]), poplarwinch.ModelName(parts[1]), []byte(parts[2]))
		if other, ok := seen[f]; ok {
			t.Errorf("%q has the fingerprint of %s", parts, other)
		}
		seen[f] = fmt.Sprint(parts)
	}
}

// Guards against a crashing request that is not rejected, and against rejecting harmless requests.
func TestVerdicts(t *testing.T) {
	for script, want := range map[string]Verdict{
		"":                                                    VerdictAllow,
		"run e1, died e1":                                     VerdictIsolate,
		"run e1, complete e1, end, died e1":                   VerdictAllow,
		"run e1, end, wait 2500, died e1":                     VerdictIsolate, // stream broken before the death is detected
		"run e1, end, wait 3500, died e1":                     VerdictAllow,
		"run e1, died e1, run e2, died e2":                    VerdictReject,  // second crash in isolation
		"run e1, run e2, died e1, died e2":                    VerdictReject,  // copies on two engines
		"run e1, died e1, wait 400, peer e1":                  VerdictIsolate, // the same death reported by a peer
		"run e1, died e1, wait 400, peer e2":                  VerdictReject,
		"run e1, died e1, wait 600000":                        VerdictAllow,
		"run e1, died e1, wait 400, run e2, wait 400, answer": VerdictAllow,
		"run e1, died e1, wait 400, run e2, wait 400, answer, wait 400, run e3, died e3": VerdictIsolate,
		"run e1, died e1, wait 540000, run e2, died e2, wait 540000":                     VerdictReject,
	} {
		t.Run(script, func(t *testing.T) {
			m := clock.NewManual(start)
			g, f, end := newTest(t, m), fingerprint(1), func() {}
			for step := range strings.SplitSeq(script, ", ") {
				op, value, _ := strings.Cut(step, " ")
				u := poplarwinch.UpstreamID(value)
				switch op {
				case "run":
					end, _ = g.Start(u, f)
				case "end":
					end()
				case "complete":
					g.RecordCompletion(u, f)
				case "died":
					g.RecordDeath(u, 0)
				case "peer":
					g.Merge([]Suspect{{Fingerprint: f, Deaths: []Death{{Upstream: u, At: m.Now()}}}})
				case "answer":
					g.RecordCompletion(u, f)
					g.RecordAnswer(PromptSuspects{Request: f}, m.Now())
					end()
				case "wait":
					n, _ := strconv.Atoi(value)
					m.Advance(clock.Millis(n))
				}
			}
			if got := g.Check(f); got != want {
				t.Fatalf("verdict %s, want %s", got, want)
			}
			if _, ok := g.Start("e9", f); ok == (want == VerdictReject) {
				t.Fatalf("Start() = %v for verdict %s", ok, want)
			}
		})
	}
}

// Guards against two suspects on one engine, whose death would then be attributed to both, and against a suspect that
// crashes several engines at once.
func TestSuspectsRunInIsolation(t *testing.T) {
	m := clock.NewManual(start)
	g := newTest(t, m)
	for i := range 2 {
		g.Start("e1", fingerprint(i))
	}
	g.RecordDeath("e1", 0)
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

// Guards against instances whose suspects differ because gossip reached them in a different order.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deaths := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Suspect {
			// Reports of one death are less than 10 s apart, and different deaths of an engine about a minute or more.
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

// Guards against unbounded memory after many crashes, and against evicting a rejected request before a suspect.
func TestLimitKeepsRejectedRequests(t *testing.T) {
	m := clock.NewManual(start)
	g := newTest(t, m, WithLimit(3))
	for _, u := range []poplarwinch.UpstreamID{"e1", "e2"} {
		g.Start(u, fingerprint(0))
		g.RecordDeath(u, 0)
	}
	for i := range 10 {
		m.Advance(1)
		g.Start("e3", fingerprint(100+i))
		g.RecordDeath("e3", 0)
	}
	if n := len(g.Suspects()); n != 3 || g.Check(fingerprint(0)) != VerdictReject || g.Check(fingerprint(109)) != VerdictIsolate {
		t.Fatalf("%d suspects, verdicts %s and %s", n, g.Check(fingerprint(0)), g.Check(fingerprint(109)))
	}
}
