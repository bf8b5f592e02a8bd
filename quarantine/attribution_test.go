package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// promptOf returns the suspects of a request, written as its name and its shared parts, such as "r1:instructions:bad".
func promptOf(text string) PromptSuspects {
	name, rest, _ := strings.Cut(text, ":")
	var parts []poplarwinch.PromptPartID
	for id := range strings.SplitSeq(rest, ":") {
		if id != "" {
			parts = append(parts, poplarwinch.PromptPartID(id))
		}
	}
	return NewPromptSuspects(FingerprintOf("c", "m", []byte(name)), parts)
}

// play runs a script of crashes ("crash ENGINE REQUEST..."), complete answers ("answer REQUEST"), answers that go on ("progress REQUEST MS")
// and waits in ms. The engines were alive 200 ms before the crash was noticed, or as many ms as follow a slash.
func play(t rapid.TB, m *clock.Manual, g *Register, script string) {
	for step := range strings.SplitSeq(script, ", ") {
		fields := strings.Fields(step)
		switch fields[0] {
		case "crash":
			for _, r := range fields[2:] {
				name, ran, ok := strings.Cut(r, "/")
				if !ok {
					ran = "200"
				}
				ms, _ := strconv.Atoi(ran)
				g.RecordCrash(promptOf(name), Death{Upstream: poplarwinch.UpstreamID(fields[1]), At: m.Now(), Silence: clock.Millis(ms)})
			}
		case "progress":
			ms, _ := strconv.Atoi(fields[2])
			g.RecordProgress(promptOf(fields[1]), clock.Millis(ms))
		case "answer":
			g.RecordAnswer(promptOf(fields[1]), m.Now())
		case "wait":
			ms, _ := strconv.Atoi(fields[1])
			m.Advance(clock.Millis(ms))
		default:
			t.Fatalf("unknown step %q", step)
		}
	}
}

// Guards against requests that crash engines as long as no two are alike, and against harmless requests that are blocked with them
// because they share parts, ran on the same engines, or ran when engines died for another reason.
func TestBlockedSuspects(t *testing.T) {
	crashes := "crash e1 r1:i:bad, wait 300, crash e2 r2:i:bad, wait 300, crash e3 r3:i:bad, wait 300"
	for name, c := range map[string]struct {
		script  string
		blocked string
		allowed string
	}{
		"a common part":                      {crashes + ", wait 1000", "new:i:bad", "new:i new:i:good"},
		"not at once":                        {crashes, "", "new:i:bad"},
		"a common part after an answer":      {"answer r0:i:bad, wait 10, " + crashes + ", wait 1000", "new:i:bad", "new:i"},
		"a common part at another place":     {crashes + ", wait 1000", "new:i:good:bad", "new:good:i"},
		"two crashes":                        {"crash e1 r1:i:bad, wait 300, crash e2 r2:i:bad, wait 2000", "", "new:i:bad"},
		"first part":                         {"crash e1 r1:bad:a, wait 300, crash e2 r2:bad:b, wait 300, crash e3 r3:bad:c, wait 300, crash e4 r4:bad:a, wait 1300", "new:bad new:bad:d", "new:a new:b"},
		"engines that die together":          {"crash e1 r1:i, crash e2 r2:i, crash e3 r3:i, crash e4 r4:i, wait 2000", "", "new:i"},
		"again, with answers between":        {"crash e1 r1:i, crash e2 r2:i, wait 600, answer r9:i, wait 600, crash e3 r3:i, crash e4 r4:i, wait 2000", "", "new:i"},
		"an answer after the last crash":     {crashes + ", wait 100, answer r4:i:bad, wait 1000", "", "new:i:bad"},
		"an answer that began before":        {"wait 1000, crash e1 r1:i:bad, crash e2 r2:i:bad, wait 300, crash e3 r3:i:bad, wait 1500", "new:i:bad", "new:i"},
		"a bystander on each engine":         {"crash e1 r1:i:bad q:i:s, wait 300, crash e2 r2:i:bad q:i:s, wait 300, crash e3 r3:i:bad q:i:s, wait 300, crash e4 r4:i:bad, wait 1300", "new:i:bad", "q:i:s new:i:s"},
		"a request that is repeated":         {"crash e1 r1:i:x o:i, wait 300, crash e2 r1:i:x p:i, wait 300, crash e3 r1:i:x, wait 10", "r1:i:x", "new:i:x o:i p:i"},
		"a request that is answered between": {"crash e1 r1:i, wait 300, crash e2 r1:i, wait 300, answer r1:i, wait 300, crash e3 r1:i, wait 2000", "", "r1:i"},
		"crashes long after the answer began": {
			"progress r1:i:x 8000, crash e1 r1:i:x/60, wait 600, crash e2 r2:i:x/60, wait 100, crash e3 r3:i:x/60, wait 1000", "new:i:x", "new:i new:x",
		},
		"a complete answer after crashes long after the answer began": {
			"progress r1:i:x 8000, crash e1 r1:i:x/60, wait 600, crash e2 r2:i:x/60, wait 1000, crash e3 r3:i:x/60, wait 100, answer r4:i:x, wait 900", "", "new:i:x",
		},
		"a sound part whose answers go on for longer, on one engine more": {
			"progress r0:i 2000, progress r1:i:bad 500, crash e1 r1:i:bad/900, wait 1000, crash e2 r2:i:bad/900, crash e4 s1:i/900, wait 1000, crash e3 r3:i:bad/900, wait 1100",
			"new:i:bad new:bad", "new:i new:i:good",
		},
		"engines that are lost at the same moment and noticed by and by": {
			"crash e1 r1:i/1200, wait 300, crash e2 r2:i/1500, wait 1400, crash e3 r3:i/2900, wait 6700, crash e4 r4:i/9600, wait 2000", "", "new:i",
		},
		"two common parts": {
			"crash e1 r1:i:bad, crash e5 s1:i:worse, wait 300, crash e2 r2:i:bad, crash e6 s2:i:worse, wait 300, crash e3 r3:i:bad, crash e7 s3:i:worse, wait 300, answer r9:i, wait 1000",
			"new:i:bad new:i:worse", "new:i",
		},
		"two requests on the same engines": {
			"crash e1 r1:i o:j, wait 300, crash e2 r1:i o:j, wait 300, crash e3 r1:i o:j, wait 1300", "r1:i o:j", "new:i new:j",
		},
		"a sound part after the one at fault": {
			"crash e1 r1:bad:i, crash e2 r2:bad:i, crash e3 r3:bad:i, wait 300, crash e4 r1:bad:i, crash e5 r2:bad:i, wait 1300", "new:bad:i new:x:bad:i", "new:i new:i:good new:bad",
		},
		"a sound part that was answered before": {
			"answer r0:i, wait 10, crash e1 r1:bad:i, crash e2 r2:bad:i, wait 300, crash e3 r3:bad:i, wait 1300", "new:bad:i new:bad new:bad:j", "new:i new:i:good",
		},
		"a sound part, answered before, on one engine more": {
			"answer r0:i, wait 10, crash e1 r1:bad:i, crash e2 r2:bad:i, wait 300, crash e3 r3:bad:i, crash e4 s1:i, wait 1300", "new:bad:i new:bad", "new:i",
		},
		"two parts at fault with a sound one that was answered before": {
			"answer r0:i, wait 10, crash e1 r1:a:i, crash e2 s1:b:i, wait 300, crash e3 r2:a:i, crash e4 s2:b:i, wait 300, crash e5 r3:a:i, crash e6 s3:b:i, wait 1300",
			"new:a new:b new:a:i new:i:b", "new:i",
		},
		"one of two parts comes with another later": {
			"crash e1 r1:bad:i, crash e2 r2:bad:i, wait 300, crash e3 r3:bad:i, wait 1300, crash e4 r4:bad:j, wait 1300", "new:bad new:bad:i new:k:bad", "new:i new:j",
		},
		"one of two parts is answered later": {
			"crash e1 r1:bad:i, crash e2 r2:bad:i, wait 300, crash e3 r3:bad:i, wait 1300, answer r4:i, wait 10", "new:bad new:bad:i new:j:bad", "new:i",
		},
		"a death that is reported for one of two parts first": {
			"crash e1 r1:bad:i, crash e2 r2:bad:i, wait 300, crash e3 r3:bad:i, wait 2000, crash e4 r4:i, wait 900", "new:bad:i", "new:i new:bad",
		},
		"three parts that always come together": {
			"crash e1 r1:a:b:c, crash e2 r2:a:b:c, wait 300, crash e3 r3:a:b:c, wait 1300", "new:a:b:c new:c:x:a:b", "new:a:b new:b:c new:a new:b new:c",
		},
		"a part that has become harmful, in requests that come again": {
			"answer r0:i, wait 10, crash e1 r1:i, crash e2 r2:i, crash e3 r3:i, wait 300, crash e4 r1:i, crash e5 r2:i, crash e6 r3:i, wait 300, crash e7 r1:i, crash e8 r2:i, crash e9 r3:i, wait 1300",
			"r1:i r2:i r3:i new:i", "new:j",
		},
		"one engine many times": {strings.Repeat("crash e1 r1:i:bad, wait 300, ", 8) + "wait 1000", "", "new:i:bad"},
	} {
		t.Run(name, func(t *testing.T) {
			m := clock.NewManual(start)
			g := newTest(t, m)
			play(t, m, g, c.script)
			for _, r := range strings.Fields(c.blocked) {
				if !g.Rule(promptOf(r)).Blocked {
					t.Errorf("%s is not blocked", r)
				}
			}
			for _, r := range strings.Fields(c.allowed) {
				if g.Rule(promptOf(r)).Blocked {
					t.Errorf("%s is blocked", r)
				}
			}
		})
	}
}

// Guards against a suspect that stays blocked for all time though it is harmless, and against requests that crash an engine each.
func TestBlockedSuspectIsAllowedAgain(t *testing.T) {
	const crashes = "crash e1 r1:bad, wait 300, crash e2 r2:bad, wait 300, crash e3 r3:bad, wait 300, crash e4 r4:bad, wait 1300"
	m := clock.NewManual(start)
	g := newTest(t, m)
	g.halfOpen.share = 0
	play(t, m, g, crashes)
	allowed := 0
	for m.Now() < start+9*clock.Minute {
		if !g.Rule(promptOf("new:bad")).Blocked {
			allowed++
			if m.Now() < start+minHalfOpenDelay {
				t.Fatalf("allowed again after %d ms", m.Now()-start)
			}
			if allowed == 1 {
				g.RecordCrash(promptOf("new:bad"), Death{Upstream: "e9", At: m.Now(), Silence: 200})
			}
		}
		m.Advance(clock.Second)
	}
	if allowed == 0 || allowed > 30 {
		t.Errorf("%d requests allowed, want a few", allowed)
	}
	play(t, m, g, "answer r5:bad")
	if g.Rule(promptOf("new:bad")).Blocked {
		t.Error("blocked after an answer")
	}
}

// Guards against trials of a blocked part that take down an engine each because they crash it so late that others are allowed before the
// first crash is known.
func TestTrialsThatCrashLate(t *testing.T) {
	const age = 12 * clock.Second
	for _, instances := range []int{1, 9, 24} {
		m := clock.NewManual(start)
		var list []*Register
		for n := range instances {
			g := newTest(t, m, WithInstances(func() int { return instances }))
			g.halfOpen.share = float64((n*61+17)%instances) / float64(instances)
			list = append(list, g)
		}
		exchange := func(from *Register) {
			for _, g := range list {
				g.Merge(from.Report())
			}
		}
		play(t, m, list[0], "crash e1 r1:bad, wait 300, crash e2 r2:bad, wait 300, crash e3 r3:bad, wait 1300")
		exchange(list[0])
		trials := map[clock.Millis]*Register{}
		crashes := 0
		for m.Now() < start+9*clock.Minute {
			m.Advance(clock.Second)
			if g := trials[m.Now()]; g != nil {
				crashes++
				play(t, m, g, fmt.Sprintf("crash f%d n%d:bad/60", crashes, crashes))
				exchange(g)
			}
			g := list[int(m.Now()/clock.Second)*31%instances]
			if !g.Rule(promptOf("new:bad")).Blocked {
				trials[m.Now()+age] = g
			}
		}
		if crashes == 0 || crashes > 3 {
			t.Errorf("%d instances: %d engines crashed in 9 minutes, want 1 to 3", instances, crashes)
		}
	}
}

// Guards against a block that ends only after minutes though it is wrong, and against one that takes an engine down with each request that
// is allowed to test it: of all instances one allows a request after about two minutes, and ever fewer if it crashes.
func TestTrialsOfABlockedSuspect(t *testing.T) {
	for _, instances := range []int{1, 9, 300} {
		for _, isHarmful := range []bool{false, true} {
			m := clock.NewManual(start)
			var list []*Register
			for n := range instances {
				g := newTest(t, m, WithInstances(func() int { return instances }))
				g.halfOpen.share = float64((n*61+17)%instances) / float64(instances)
				list = append(list, g)
			}
			play(t, m, list[0], "crash e1 r1:bad, wait 300, crash e2 r2:bad, wait 300, crash e3 r3:bad, wait 1300")
			exchange := func(from *Register) {
				for _, g := range list {
					g.Merge(from.Report())
				}
			}
			exchange(list[0])
			lastDeathAt, crashes, allowedAt := m.Now()-1300, 0, clock.Millis(0)
			for m.Now() < start+9*clock.Minute {
				m.Advance(clock.Second)
				n := int(m.Now()/clock.Second) * 31 % instances
				for i := range instances {
					g := list[(n+i)%instances]
					if g.Rule(promptOf("new:bad")).Blocked {
						continue
					}
					if allowedAt == 0 {
						allowedAt = m.Now()
					}
					if !isHarmful {
						play(t, m, g, "answer new:bad")
						exchange(g)
						break
					}
					crashes++
					play(t, m, g, fmt.Sprintf("crash f%d n%d:bad", crashes, crashes))
					exchange(g)
					break
				}
			}
			if wait := allowedAt - lastDeathAt; wait < minHalfOpenDelay || wait > minHalfOpenDelay+2*halfOpenSpacing {
				t.Errorf("%d instances: the first request is allowed after %d ms", instances, wait)
			}
			for n, g := range list {
				if g.Rule(promptOf("new:bad")).Blocked && !isHarmful {
					t.Fatalf("%d instances: a harmless part is still blocked at instance %d", instances, n)
				}
			}
			if crashes > 3 {
				t.Errorf("%d instances: %d engines crashed in 9 minutes by requests that were allowed", instances, crashes)
			}
		}
	}
}

// Guards against what one instance learns never reaching others: reports that pass from one to the next, late, lead to the same blocks,
// and stop to change.
func TestReportsReachAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 12
		m := clock.NewManual(start)
		var list []*Register
		for range instances {
			list = append(list, newTest(t, m))
		}
		for n := range 5 {
			g := list[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			play(t, m, g, fmt.Sprintf("crash e%d r%d:i:bad, wait 300", n, n))
			for other := range 30 {
				by := list[rapid.IntRange(0, instances-1).Draw(t, "by")]
				play(t, m, by, fmt.Sprintf("crash e%d b%d-%d:i:s%d-%d", n, n, other, n, other))
			}
		}
		answering := list[rapid.IntRange(0, instances-1).Draw(t, "answering")]
		play(t, m, answering, "answer r9:i")
		const delay = 5
		exchange := func() {
			for i, g := range list {
				report := g.Report()
				m.Advance(delay)
				for n := range report {
					report[n].Deaths = slices.Clone(report[n].Deaths)
					for d := range report[n].Deaths {
						report[n].Deaths[d].At += delay // the age does not grow on the way
					}
				}
				list[(i+1)%instances].Merge(report)
				list[(i+5)%instances].Merge(report)
			}
		}
		for range 30 {
			exchange()
		}
		m.Advance(clock.Second)
		for i, g := range list {
			if !g.Rule(promptOf("new:i:bad")).Blocked {
				t.Errorf("not blocked at instance %d", i)
			}
			if g.Rule(promptOf("new:i")).Blocked {
				t.Errorf("harmless requests are blocked at instance %d", i)
			}
		}
		m.Advance(reportPeriod)
		before := fmt.Sprint(list[0].Suspects())
		exchange()
		exchange()
		if after := fmt.Sprint(list[0].Suspects()); before != after {
			t.Errorf("suspects still change:\n%s\n%s", before, after)
		}
		restarted := newTest(t, m)
		restarted.Merge(list[3].Report())
		if !restarted.Rule(promptOf("new:i:bad")).Blocked {
			t.Error("not blocked at a restarted instance")
		}
	})
}

// Guards against blocked suspects that a report leaves out because there are many others.
func TestReportHasBlockedSuspectsFirst(t *testing.T) {
	m := clock.NewManual(start)
	g := newTest(t, m)
	play(t, m, g, "crash e1 r1:i:bad, wait 300, crash e2 r2:i:bad, wait 300, crash e3 r3:i:bad, wait 7000")
	for n := range 100 {
		play(t, m, g, fmt.Sprintf("crash f%d x%d:i:s%d, wait 10, answer z:i", n%40, n, n%50))
	}
	report := g.Report()
	if len(report) != reportedSuspects {
		t.Fatalf("%d suspects in the report, want %d", len(report), reportedSuspects)
	}
	if report[0].Fingerprint != FingerprintOfPart("bad") {
		t.Errorf("the blocked part is not the first of %v", report)
	}
}

// Guards against instances that block a part because nobody reports to them that it was answered.
func TestClearedSuspectsAreReported(t *testing.T) {
	m := clock.NewManual(start)
	changes := 0
	g := newTest(t, m, WithOnChange(func() { changes++ }))
	play(t, m, g, "crash e1 r1:i, wait 10")
	before := changes
	play(t, m, g, "answer r2:i, answer r3:i")
	if changes != before+1 {
		t.Errorf("%d changes reported for two answers, want one", changes-before)
	}
	other := newTest(t, m)
	other.Merge(g.Report())
	for _, s := range other.Suspects() {
		if s.Position == 1 && len(s.unclearedDeaths()) > 0 {
			t.Errorf("a peer still holds %+v against the part", s)
		}
	}
}

// Guards against memory that grows with the number of requests, and against parts that are forgotten at once for it.
func TestSurvivalsAreBounded(t *testing.T) {
	var s survivals
	part := FingerprintOfPart("i")
	s.record(part, survival{completedAt: start}, start)
	for n := range 2 * maxSurvivals {
		s.record(fingerprint(n), survival{completedAt: start}, start)
		if n == maxSurvivals && s.completedAt(part) == 0 {
			t.Error("a part was forgotten within one generation")
		}
	}
	if n := len(s.recent) + len(s.older); n > 2*maxSurvivals {
		t.Errorf("%d survivals are kept, want %d at most", n, 2*maxSurvivals)
	}
}

// Guards against crashes that no peer hears of because reports are full of suspects that have been blocked for long.
func TestBlockedSuspectsLeaveRoomForChanges(t *testing.T) {
	m := clock.NewManual(start)
	g := newTest(t, m)
	for n := range 40 {
		play(t, m, g, fmt.Sprintf("crash a%d r%d, wait 300, crash b%d r%d, wait 300, crash c%d r%d, wait 10", n, n, n, n, n, n))
	}
	play(t, m, g, "wait 7000, crash z new:i:bad")
	report := g.Report()
	for _, f := range []Fingerprint{promptOf("new").Request, FingerprintOfPart("bad")} {
		if !slices.ContainsFunc(report, func(s Suspect) bool { return s.Fingerprint == f }) {
			t.Errorf("%s is not among the %d suspects of the report", f, len(report))
		}
	}
	if len(report) > reportedSuspects {
		t.Errorf("the report has %d suspects, want %d at most", len(report), reportedSuspects)
	}
}

// Guards against a restarted instance that rejects sound prompts because it hears of some parts of a group first, and against one that
// never hears of a group.
func TestGroupsAreReportedWhole(t *testing.T) {
	const groups = 20
	m := clock.NewManual(start)
	g := newTest(t, m)
	for n := range groups {
		for crash := range 3 {
			play(t, m, g, fmt.Sprintf("crash e%d-%d r%d-%d:x%d:y%d:z%d, wait 300", n, crash, n, crash, n, n, n))
		}
	}
	play(t, m, g, "wait 7000")
	learned := map[int]bool{}
	for range groups {
		restarted := newTest(t, m)
		restarted.Merge(g.Report())
		for n := range groups {
			if restarted.Rule(promptOf(fmt.Sprintf("new:x%d:y%d:z%d", n, n, n))).Blocked {
				learned[n] = true
			}
			for _, sound := range []string{"new:x%d", "new:y%d", "new:z%d"} {
				if restarted.Rule(promptOf(fmt.Sprintf(sound, n))).Blocked {
					t.Fatalf("a restarted instance rejects "+sound, n)
				}
			}
		}
	}
	if len(learned) != groups {
		t.Errorf("%d of %d groups were reported", len(learned), groups)
	}
}

// Guards against a request that goes on crashing engines because many others do so too.
func TestManyCrashingRequestsAreBlocked(t *testing.T) {
	const requests = 300
	m := clock.NewManual(start)
	g := newTest(t, m)
	for n := range requests {
		play(t, m, g, fmt.Sprintf("crash a%d r%d/50, wait 60, crash b%d r%d/50, wait 60, crash c%d r%d/50, wait 10", n, n, n, n, n, n))
	}
	for n := range requests {
		if !g.Rule(promptOf(fmt.Sprint("r", n))).Blocked {
			t.Fatalf("request %d of %d is not blocked", n, requests)
		}
	}
}
