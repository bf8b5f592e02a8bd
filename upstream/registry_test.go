package upstream

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// The seed is fixed, so that every run of the property tests checks the same cases.
func init() { flag.Set("rapid.seed", "1") }

const start clock.Millis = 1_000_000

var models = []LoadedModel{{Name: "drafting", Adapters: []LoadedAdapter{{Name: "letter"}}}}

func engineEntry(id poplarwinch.UpstreamID) Listed {
	return Listed{ID: id, Kind: KindEngine, Pool: "drafting", Address: "127.0.0.1:1", FailureDomain: "arima", Ready: true}
}

func newTest(t rapid.TB, opts ...Option) (*Registry, *clock.Manual) {
	m := clock.NewManual(start)
	violated := func(name, detail string) { t.Errorf("invariant %s broken: %s", name, detail) }
	return New(append([]Option{WithClock(m.Clock()), WithViolated(violated)}, opts...)...), m
}

// Guards against sending work to an upstream that is leaving or down, and against dropping one that is missing from the
// list but still answers.
func TestStateAfterListAndObservations(t *testing.T) {
	up := Observation{ID: "e", At: start, State: StateUp, BootID: "b1", Models: models}
	at := func(o Observation, after clock.Millis, s State) Observation {
		o.At, o.State = start+after, s
		return o
	}
	terminating := engineEntry("e")
	terminating.Terminating = true
	for name, c := range map[string]struct {
		steps []any
		want  State
		known bool
	}{
		"listed and never observed":             {[]any{[]Listed{engineEntry("e")}}, StateUp, true},
		"list says leaving":                     {[]any{[]Listed{engineEntry("e")}, up, []Listed{terminating}}, StateLeaving, true},
		"stale ready after leaving":             {[]any{[]Listed{engineEntry("e")}, at(up, 0, StateLeaving), []Listed{engineEntry("e")}}, StateLeaving, true},
		"stale ready after down":                {[]any{[]Listed{engineEntry("e")}, at(up, 0, StateDown), []Listed{engineEntry("e")}}, StateDown, true},
		"newer up after leaving":                {[]any{[]Listed{engineEntry("e")}, at(up, 0, StateLeaving), at(up, 400, StateUp)}, StateLeaving, true},
		"leaving, down, up":                     {[]any{[]Listed{engineEntry("e")}, at(up, 0, StateLeaving), at(up, 1, StateDown), at(up, 400, StateUp)}, StateLeaving, true},
		"old leaving arrives late":              {[]any{[]Listed{engineEntry("e")}, at(up, 400, StateUp), at(up, 0, StateLeaving)}, StateLeaving, true},
		"older down does not count":             {[]any{[]Listed{engineEntry("e")}, at(up, 400, StateUp), at(up, 0, StateDown)}, StateUp, true},
		"same time, worse state counts":         {[]any{[]Listed{engineEntry("e")}, at(up, 0, StateDown), up}, StateDown, true},
		"leaving before it is listed":           {[]any{at(up, 0, StateLeaving), []Listed{engineEntry("e")}}, StateLeaving, true},
		"missing from the list while answering": {[]any{[]Listed{engineEntry("e")}, up, []Listed{}}, StateUp, true},
		"missing from the list and down":        {[]any{[]Listed{engineEntry("e")}, at(up, 0, StateDown), []Listed{}}, "", false},
		"missing and not answering":             {[]any{[]Listed{engineEntry("e")}, up, 11 * clock.Second, []Listed{}}, "", false},
		"removed, leaving, listed again":        {[]any{[]Listed{terminating}, []Listed{}, clock.Minute, []Listed{engineEntry("e")}}, StateLeaving, true},
		"clock far ahead is capped":             {[]any{[]Listed{engineEntry("e")}, at(up, clock.Hour, StateDown), clock.Second, at(up, clock.Second, StateUp)}, StateUp, true},
	} {
		t.Run(name, func(t *testing.T) {
			r, m := newTest(t)
			for _, s := range c.steps {
				switch s := s.(type) {
				case []Listed:
					r.Apply(s)
				case Observation:
					r.Merge([]Observation{s})
				case clock.Millis:
					m.Advance(s)
				}
			}
			u, known := r.Snapshot().Lookup("e")
			if known != c.known || known && u.State() != c.want {
				t.Fatalf("known %v, want %v, state %v, want %v", known, c.known, u, c.want)
			}
			if n := len(r.Snapshot().Engines("drafting", "letter").All); n > 0 && c.want != StateUp {
				t.Fatalf("%d engines are selectable in state %s", n, c.want)
			}
		})
	}
}

// Guards against instances that never converge because gossip reached them in a different order.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		observations := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Observation {
			return Observation{
				ID: "e", At: start + clock.Millis(rapid.IntRange(-50, 50).Draw(t, "at")), Models: models,
				State: rapid.SampledFrom([]State{StateUp, StateLeaving, StateDown}).Draw(t, "state"),
			}
		}), 1, 8).Draw(t, "observations")
		shuffled := rapid.Permutation(observations).Draw(t, "order")
		a, _ := newTest(t)
		b, _ := newTest(t)
		c, _ := newTest(t)
		for _, r := range []*Registry{a, b, c} {
			r.Apply([]Listed{engineEntry("e")})
		}
		a.Merge(observations)
		b.Merge(shuffled)
		changes, _ := a.Changes(0)
		c.Merge(changes)
		for i, r := range []*Registry{b, c} {
			x, _ := a.Snapshot().Lookup("e")
			if y, _ := r.Snapshot().Lookup("e"); x.State() != y.State() {
				t.Fatalf("states differ: %s and, at registry %d, %s", x.State(), i, y.State())
			}
			if x, y := a.records["e"].leaving, r.records["e"].leaving; x != y {
				t.Fatalf("leaving differs: %v and %v", x, y)
			}
		}
	})
}

// Guards against gossip that repeats unchanged upstreams in every exchange or omits a change.
func TestChangesReturnsEachChangeOnce(t *testing.T) {
	r, m := newTest(t)
	r.Apply([]Listed{engineEntry("e")})
	observe := func(waiting poplarwinch.Tokens, s State) {
		m.Advance(100)
		r.Merge([]Observation{{ID: "e", At: m.Now(), State: s, Load: Load{At: m.Now(), WaitingPrefillTokens: waiting}}})
	}
	observe(0, StateUp)
	position := uint64(0)
	for i, c := range []struct {
		waiting poplarwinch.Tokens
		state   State
		want    int
	}{{0, StateUp, 1}, {100, StateUp, 0}, {50_000, StateUp, 1}, {50_100, StateUp, 0}, {50_100, StateLeaving, 1}} {
		observe(c.waiting, c.state)
		changes, next := r.Changes(position)
		if len(changes) != c.want {
			t.Fatalf("step %d: changes %v, want %d observations", i, changes, c.want)
		}
		position = next
	}
	m.Advance(clock.Second)
	observe(50_100, StateLeaving)
	if changes, _ := r.Changes(position); len(changes) != 1 {
		t.Fatalf("an unchanged upstream was not refreshed after the refresh interval")
	}
}

// Guards against missed deaths, which would hide a request that crashes engines, and against repeated reports of one
// death, which would put harmless requests in quarantine.
func TestDeathsAreReportedOnce(t *testing.T) {
	var deaths int
	r, m := newTest(t, WithOnDeath(func(EndedProcess) { deaths++ }))
	r.Apply([]Listed{engineEntry("e")})
	for i, c := range []struct {
		o    Observation
		want int
	}{
		{Observation{State: StateUp, BootID: "b1"}, 0},
		{Observation{State: StateDown}, 0}, // no answer, not dead
		{Observation{State: StateDown, Refused: true}, 1},
		{Observation{State: StateDown, Refused: true}, 1},
		{Observation{State: StateDown, BootID: "b2"}, 1}, // the same death, detected from the new process
		{Observation{State: StateUp, BootID: "b1"}, 1},   // late observation of the old process
		{Observation{State: StateUp, BootID: "b3"}, 2},
	} {
		c.o.ID, c.o.At = "e", start+clock.Millis(i)
		m.Advance(1)
		r.Merge([]Observation{c.o})
		if deaths != c.want {
			t.Fatalf("step %d: %d deaths, want %d", i, deaths, c.want)
		}
	}
	r.Merge([]Observation{{ID: "e", At: m.Now(), State: StateDown, Refused: true}})
	if u, _ := r.Snapshot().Lookup("e"); u.State() != StateDown || deaths != 3 {
		t.Fatalf("after a refused call the state is %s with %d deaths", u.State(), deaths)
	}
}

// Guards against counters that drift, which would make an engine look loaded or idle permanently.
func TestCountersAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, m := newTest(t)
		r.Apply([]Listed{engineEntry("e")})
		u, _ := r.Snapshot().Lookup("e")
		var tickets []*Ticket
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				tickets = append(tickets, u.Begin(Work{Prefill: poplarwinch.Tokens(rapid.IntRange(0, 1<<20).Draw(t, "prefill")), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}))
			},
			"first token": func(t *rapid.T) { pick(t, tickets).FirstToken() },
			"end":         func(t *rapid.T) { pick(t, tickets).End() },
			"time": func(t *rapid.T) {
				m.Advance(rapid.SampledFrom([]clock.Millis{1, 100, 900, pendingBuckets * pendingBucketWidth}).Draw(t, "span"))
			},
			"report": func(t *rapid.T) {
				at := m.Now() - clock.Millis(rapid.IntRange(0, 2000).Draw(t, "lag"))
				r.Merge([]Observation{{ID: "e", At: m.Now(), State: StateUp, Load: Load{At: at}}})
			},
			"": func(t *rapid.T) {
				p := u.Prefill()
				for i := range p.Pending {
					if p.Pending[i] < 0 || p.Tokens[i] < p.Pending[i] || p.Prompts[i] < 0 || u.Running() < 0 {
						t.Fatalf("counters don't add up: %+v, %d requests", p, u.Running())
					}
				}
			},
		})
		for _, ticket := range tickets {
			ticket.End()
		}
		if u.Prefill() != (Prefill{}) || u.Running() != 0 {
			t.Fatalf("after all tickets ended: %+v, %d requests", u.Prefill(), u.Running())
		}
	})
}

func pick(t *rapid.T, tickets []*Ticket) *Ticket {
	if len(tickets) == 0 {
		t.Skip("no ticket")
	}
	return rapid.SampledFrom(tickets).Draw(t, "ticket")
}

// Guards against counting peers' work twice, in an announcement and in a load report, and against counting it after the
// peer withdrew it.
func TestAnnouncedWorkEndsWithTheReport(t *testing.T) {
	a, _ := newTest(t)
	b, m := newTest(t)
	for _, r := range []*Registry{a, b} {
		r.Apply([]Listed{engineEntry("e")})
	}
	sender, _ := a.Snapshot().Lookup("e")
	sender.Begin(Work{Prefill: 5000, Priority: 2})
	sender.Begin(Work{Prefill: 100})
	b.ReplaceAnnouncements("a", a.Announcements())
	u, _ := b.Snapshot().Lookup("e")
	if want := (Prefill{Pending: [3]poplarwinch.Tokens{100, 0, 5000}, Tokens: [3]poplarwinch.Tokens{100, 0, 5000}, Prompts: [3]int64{1, 0, 1}}); u.Prefill() != want {
		t.Fatalf("peer prefill is %+v, want %+v", u.Prefill(), want)
	}
	m.Advance(10)
	b.Merge([]Observation{{ID: "e", At: m.Now(), State: StateUp, Load: Load{At: m.Now()}}})
	if want := (Prefill{Tokens: [3]poplarwinch.Tokens{100, 0, 5000}, Prompts: [3]int64{1, 0, 1}}); u.Prefill() != want {
		t.Fatalf("after the report peer prefill is %+v, want %+v", u.Prefill(), want)
	}
	b.ReplaceAnnouncements("a", nil)
	if u.Prefill() != (Prefill{}) {
		t.Fatalf("%+v remains after the peer announced nothing", u.Prefill())
	}
}

// Guards against data races between readers of snapshots and writers, and against snapshots that violate an invariant
// meanwhile.
func TestSnapshotsUnderConcurrentWrites(t *testing.T) {
	r, m := newTest(t)
	list := make([]Listed, 20)
	for i := range list {
		list[i] = engineEntry(poplarwinch.UpstreamID(fmt.Sprint("e", i)))
	}
	r.Apply(list)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 500 {
			l := list[i%len(list)]
			s := []State{StateUp, StateDown}[i/len(list)%2]
			r.Merge([]Observation{{ID: l.ID, At: m.Now(), State: s, Models: models, Load: Load{At: m.Now()}}})
			m.Advance(1)
		}
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		for _, u := range r.Snapshot().Engines("drafting", "").All {
			u.Begin(Work{Prefill: 10}).End()
		}
	}
}

// BenchmarkMerge measures merging the load reports of 290 engines without a change of state.
func BenchmarkMerge(b *testing.B) {
	r, m := newTest(b)
	var list []Listed
	var reports []Observation
	for i := range 290 {
		l := engineEntry(poplarwinch.UpstreamID(fmt.Sprintf("e%03d", i)))
		list = append(list, l)
		reports = append(reports, Observation{ID: l.ID, State: StateUp, Models: models})
	}
	r.Apply(list)
	b.ReportAllocs()
	for b.Loop() {
		m.Advance(500)
		for i := range reports {
			reports[i].At, reports[i].Load.At = m.Now(), m.Now()
		}
		r.Merge(reports)
	}
}
