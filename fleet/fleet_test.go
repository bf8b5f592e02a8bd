package fleet_test

import (
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// fixture is a fleet of two engines in one failure domain and one in another, on a manual clock.
type fixture struct {
	*fleet.Fleet
	time     *clock.Manual
	notified []fleet.Reach
}

func servers() []fleet.Server {
	return []fleet.Server{
		{ID: "e1", Address: "10.0.0.1:80", Domain: "north", Service: "pool", Slots: 4},
		{ID: "e2", Address: "10.0.0.2:80", Domain: "north", Service: "pool", Slots: 4},
		{ID: "e3", Address: "10.0.0.3:80", Domain: "south", Service: "pool", Slots: 4},
	}
}

func newFixture() *fixture {
	w := &fixture{time: clock.NewManual(1000)}
	w.Fleet = fleet.New(
		fleet.WithClock(w.time.Clock()), fleet.WithDomain("north"), fleet.WithNotify(func(r fleet.Reach) { w.notified = append(w.notified, r) }),
	)
	w.Apply(servers())
	return w
}

func (w *fixture) candidate(t *testing.T, id poplarwinch.UpstreamID) fleet.Candidate {
	t.Helper()
	for _, c := range w.Candidates("pool") {
		if c.ID == id {
			return c
		}
	}
	t.Fatalf("%s is no candidate", id)
	return fleet.Candidate{}
}

// Guards against decisions that overlook load: requests, prefill and limits of this instance and its peers add up.
func TestLoad(t *testing.T) {
	w := newFixture()
	own := w.Begin(fleet.Work{First: "e1", Helpers: []poplarwinch.UpstreamID{"e2"}, Prefill: 300, MaxPause: 600, Memory: 1000, Due: 3000})
	w.Merge("peer", fleet.Report{Servers: []fleet.ServerWork{{
		ID: "e1", SubmittedPrefill: 200, Load: fleet.Load{Requests: 2, Decoding: 1, Prefilling: 1, Due: 500, MinPause: 250, MaxPause: 250, Memory: 70},
	}}})
	got := w.candidate(t, "e1").Load
	want := fleet.Load{Requests: 3, Decoding: 1, Prefilling: 2, Prefill: 500, Due: 500, MinPause: 250, MaxPause: 600, Memory: 1070}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if helper := w.candidate(t, "e2").Load; helper.Prefilling != 1 || helper.Prefill != 300 || helper.Requests != 0 {
		t.Errorf("helper: got %+v", helper)
	}
	own.FirstEvent()
	own.FirstEvent()
	if got := w.candidate(t, "e2").Load; got != (fleet.Load{}) {
		t.Errorf("after the first event the helper still has %+v", got)
	}
	own.End()
	own.End()
	if got := w.candidate(t, "e1").Load; got.Requests != 2 || got.Decoding != 1 {
		t.Errorf("after the end: got %+v", got)
	}
}

// Guards against prefill that is missing from the estimate or counted twice when reports are lost, repeated or late.
func TestReports(t *testing.T) {
	w := newFixture()
	report := func(submitted clock.Millis, prefilling int) {
		w.Merge("peer", fleet.Report{Servers: []fleet.ServerWork{{
			ID: "e1", SubmittedPrefill: submitted, Load: fleet.Load{Requests: prefilling, Prefilling: prefilling, Due: 4000},
		}}})
	}
	report(100, 1)
	report(100, 1)
	if got := w.candidate(t, "e1").Load.Prefill; got != 100 {
		t.Errorf("a repeated report: got %d ms of prefill, want 100", got)
	}
	w.time.Advance(40)
	report(250, 2)
	if got := w.candidate(t, "e1").Load.Prefill; got != 210 {
		t.Errorf("more load: got %d ms, want 210", got)
	}
	w.time.Advance(500)
	if got := w.candidate(t, "e1").Load.Prefill; got != 290 {
		t.Errorf("overdue prefill: got %d ms, want the time that it is overdue, 290", got)
	}
	report(250, 0)
	if got := w.candidate(t, "e1").Load; got.Prefill != 0 {
		t.Errorf("after the end: got %+v", got)
	}
}

// Guards against engines that get no prompts although they are idle: their parts of long prompts are prefilled, but other engines of the
// groups are not done.
func TestFinishedParts(t *testing.T) {
	w := newFixture()
	w.Begin(fleet.Work{First: "e1", Helpers: []poplarwinch.UpstreamID{"e2"}, Prefill: 300, Due: 5000})
	w.time.Advance(399)
	if got := w.candidate(t, "e2").Load; got.Prefilling != 1 {
		t.Errorf("shortly after the estimated end: got %+v, want a part in prefill", got)
	}
	w.time.Advance(1)
	if got := w.candidate(t, "e2").Load; got != (fleet.Load{}) {
		t.Errorf("helper long after the estimated end: got %+v, want no load", got)
	}
	if got := w.candidate(t, "e1").Load; got.Prefilling != 1 || got.Prefill != 100 {
		t.Errorf("first engine: got %+v, want the time that it is overdue", got)
	}
	w.Begin(fleet.Work{First: "e1", Helpers: []poplarwinch.UpstreamID{"e2"}, Prefill: 200, Due: 5000})
	if got := w.candidate(t, "e2").Load; got.Prefilling != 2 || got.Prefill != 200 {
		t.Errorf("helper with a further part: got %+v", got)
	}
}

// Guards against load of crashed instances: their last report expires.
func TestSilentPeer(t *testing.T) {
	w := newFixture()
	w.Merge("peer", fleet.Report{Servers: []fleet.ServerWork{{ID: "e1", Load: fleet.Load{Requests: 3}}}})
	w.time.Advance(3001)
	if got := w.candidate(t, "e1").Load.Requests; got != 0 {
		t.Errorf("got %d requests of a silent peer", got)
	}
}

// Guards against requests to leaving servers, and against load that outlives a restart under the same id.
func TestServersChange(t *testing.T) {
	w := newFixture()
	ticket := w.Begin(fleet.Work{First: "e1", Prefill: 100})
	list := servers()
	list[0].Boot = 2
	list[1].Leaving = true
	w.Apply(list)
	if got := w.candidate(t, "e1").Load; got != (fleet.Load{}) {
		t.Errorf("a restarted server has %+v", got)
	}
	for _, c := range w.Candidates("pool") {
		if c.ID == "e2" {
			t.Error("a leaving server is a candidate")
		}
	}
	if _, ok := w.Server("e2"); ok {
		t.Error("a leaving server is usable")
	}
	ticket.FirstEvent()
	ticket.End()
	if got := w.candidate(t, "e1").Load; got != (fleet.Load{}) {
		t.Errorf("the end of the attempt on the old process left %+v", got)
	}
}

// Guards against requests that keep trying a server which is unreachable or fails half of the time.
func TestHealth(t *testing.T) {
	w := newFixture()
	if !w.Unreachable(w.candidate(t, "e1").Server) || w.Unreachable(w.candidate(t, "e1").Server) {
		t.Error("only the first failure to connect is new")
	}
	if !w.candidate(t, "e1").Avoid {
		t.Error("an unreachable server is not avoided")
	}
	w.Reachable(w.candidate(t, "e1").Server)
	if w.candidate(t, "e1").Avoid {
		t.Error("a server that is reachable again is avoided")
	}
	w.Failed(w.candidate(t, "e2").Server)
	if w.candidate(t, "e2").Avoid {
		t.Error("one failure is enough to avoid a server")
	}
	w.Failed(w.candidate(t, "e2").Server)
	if !w.candidate(t, "e2").Avoid {
		t.Error("a failing server is not avoided")
	}
	w.time.Advance(1501)
	if w.candidate(t, "e2").Avoid {
		t.Error("a failing server is never tried again")
	}
}

// Guards against avoiding a server for long on a peer's report: it counts for a short time.
func TestPeersReportUnreachable(t *testing.T) {
	w := newFixture()
	w.Merge("peer", fleet.Report{Servers: []fleet.ServerWork{{ID: "e1", Unreachable: true}}})
	if !w.candidate(t, "e1").Avoid {
		t.Error("a server that a peer can't reach is not avoided")
	}
	w.time.Advance(1501)
	if w.candidate(t, "e1").Avoid {
		t.Error("a peer's report does not expire")
	}
}

// Guards against instances of other failure domains that learn too late of load on engines that they may choose too.
func TestChangeNotifications(t *testing.T) {
	w := newFixture()
	w.Begin(fleet.Work{First: "e1"})
	w.Begin(fleet.Work{First: "e3"})
	w.Begin(fleet.Work{First: "e2", Helpers: []poplarwinch.UpstreamID{"e3"}})
	w.Begin(fleet.Work{First: "e1"})
	w.Begin(fleet.Work{First: "e1"})
	want := []fleet.Reach{fleet.ReachNear, fleet.ReachDistant, fleet.ReachDistant, fleet.ReachNear, fleet.ReachBusy}
	if len(w.notified) != len(want) {
		t.Fatalf("notified %v, want %v", w.notified, want)
	}
	for i := range want {
		if w.notified[i] != want[i] {
			t.Errorf("work %d: reach %s, want %s", i, w.notified[i], want[i])
		}
	}
}

// Guards against waiting requests that miss that an engine has become free.
func TestChangeIsSignalled(t *testing.T) {
	w := newFixture()
	ticket := w.Begin(fleet.Work{First: "e1"})
	changed := w.Changed()
	ticket.End()
	select {
	case <-changed:
	default:
		t.Error("the end of an attempt did not close the channel of Changed")
	}
}

// Guards against long prompts sent to engines of other failure domains whose load is not known: a summary reports it
// until it is too old.
func TestSummary(t *testing.T) {
	south := fleet.New(fleet.WithDomain("south"))
	south.Apply(servers())
	south.Begin(fleet.Work{First: "e3", Prefill: 400, MaxPause: 250, Due: 1 << 60})
	south.Begin(fleet.Work{First: "e1"})
	summary := south.Summary()
	if list := summary.Servers; len(list) != 1 || list[0].ID != "e3" {
		t.Fatalf("got %+v, want the servers of the own failure domain", summary)
	}
	w := newFixture()
	if w.candidate(t, "e3").LoadKnown {
		t.Error("the load of a server in another failure domain is known without a summary")
	}
	w.MergeSummary(summary)
	if c := w.candidate(t, "e3"); !c.LoadKnown || c.Load.Requests != 1 || c.Load.Prefill < 300 || c.Load.MinPause != 250 {
		t.Errorf("got %+v, want the load of the summary", c)
	}
	if forwarded := w.Summaries(); len(forwarded) != 1 || forwarded[0].Domain != "south" || len(forwarded[0].Servers) != 1 {
		t.Errorf("got %+v, want the summary forwarded", forwarded)
	}
	w.time.Advance(1001)
	if forwarded := w.Summaries(); len(forwarded) != 0 {
		t.Errorf("an expired summary is forwarded: %+v", forwarded)
	}
	if c := w.candidate(t, "e3"); c.LoadKnown || c.Load != (fleet.Load{}) {
		t.Errorf("an expired summary counts: %+v", c)
	}
}

// Guards against engines that take too many prompts into one pass: the prefill of prompts without helpers counts in full
// until their first event, whatever time has passed. Parts of groups do not count.
func TestPending(t *testing.T) {
	w := newFixture()
	short := w.Begin(fleet.Work{First: "e1", Prefill: 40, Due: w.time.Clock().Now() + 300})
	w.Begin(fleet.Work{First: "e1", Helpers: []poplarwinch.UpstreamID{"e2"}, Prefill: 500, Due: w.time.Clock().Now() + 4000})
	w.Merge("peer", fleet.Report{Servers: []fleet.ServerWork{{
		ID: "e1", Load: fleet.Load{Requests: 1, Prefilling: 1, PendingPrefill: 30, PendingDue: 200, Due: 200},
	}}})
	w.time.Advance(60)
	if got := w.candidate(t, "e1").Load; got.PendingPrefill != 70 || got.PendingDue != 140 {
		t.Errorf("got %+v, want 70 ms pending, due in 140 ms", got)
	}
	short.FirstEvent()
	if got := w.candidate(t, "e1").Load; got.PendingPrefill != 30 {
		t.Errorf("after the first event: got %d ms pending, want 30", got.PendingPrefill)
	}
}

// Guards against waiting requests of many instances that take the same engine at the same moment: each instance knows
// how many wait.
func TestWaiting(t *testing.T) {
	w := newFixture()
	end := w.CountWaiting()
	w.Merge("peer", fleet.Report{Waiting: []fleet.WaitingCount{{Counts: fleet.ClassCounts{3}}}})
	if got := w.Waiting(); got != 4 {
		t.Errorf("got %d, want 4", got)
	}
	end()
	w.time.Advance(3001)
	if got := w.Waiting(); got != 0 {
		t.Errorf("after the end and the peer's silence: got %d", got)
	}
}

// Guards against a new start of a server that is avoided for good because a probe of the one before found it unreachable late, and against
// failures and answers of the one before that count for it.
func TestHealthBelongsToOneStart(t *testing.T) {
	w := newFixture()
	old := w.candidate(t, "e1").Server
	next := old
	next.Boot = old.Boot + 1
	w.Apply([]fleet.Server{next, w.candidate(t, "e2").Server})
	if w.Unreachable(old) || w.candidate(t, "e1").Avoid {
		t.Error("the new start is avoided because the one before is unreachable")
	}
	for range 5 {
		w.Failed(old)
	}
	if w.candidate(t, "e1").Avoid {
		t.Error("the new start is avoided because the one before failed")
	}
	w.Unreachable(next)
	w.Succeeded(old)
	w.Reachable(old)
	w.Alive(old, w.time.Now())
	if !w.candidate(t, "e1").Avoid || w.AliveAt(next) != 0 {
		t.Error("a sign of life of the start before counts for the new one")
	}
}

// Guards against a start of a server that seems to be over because an old list comes back, or to go on although another server has its
// address.
func TestListingOfAStart(t *testing.T) {
	w := newFixture()
	s := w.candidate(t, "e1").Server
	s.Boot = 5
	older, later, other, elsewhere, alias := s, s, s, s, s
	alias.ID = "alias"
	older.Boot, later.Boot = 4, 6
	other.ID, other.Boot = "new", 7
	elsewhere.ID, elsewhere.Address = "elsewhere", "other:80"
	for name, c := range map[string]struct {
		list []fleet.Server
		want fleet.Listing
	}{
		"itself":                   {[]fleet.Server{s, elsewhere}, fleet.ListingPresent},
		"nothing":                  {nil, fleet.ListingAbsent},
		"an earlier start":         {[]fleet.Server{older}, fleet.ListingAbsent},
		"a later start":            {[]fleet.Server{later}, fleet.ListingReplaced},
		"another at its address":   {[]fleet.Server{other}, fleet.ListingReplaced},
		"both, as entries overlap": {[]fleet.Server{s, other}, fleet.ListingReplaced},
		"itself under two ids":     {[]fleet.Server{s, alias}, fleet.ListingPresent},
	} {
		w.Apply(c.list)
		if got := w.Listing(s); got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
}
