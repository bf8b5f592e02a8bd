package fleet

import (
	"fmt"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/route"
)

// newColdFleet returns a fleet of a server of a service with cold servers, in its own failure domain, whose process started at born by the
// wall clock.
func newColdFleet(wall clock.Millis, born int64) (*Fleet, *clock.Manual, Server) {
	time := clock.NewManual(100_000)
	f := New(WithClock(time.Clock()), WithWallClock(clock.NewManual(wall).Clock()), WithDomain("a"), WithInstance("i"))
	f.SetCold(map[poplarwinch.ServiceName]route.Cold{"plain": {Start: 3000, PerSecond: 15}})
	s := Server{ID: "s", Domain: "a", Service: "plain", Slots: 4, Boot: born}
	f.Apply([]Server{s})
	time.Advance(2000)
	return f, time, s
}

// Guards against coldness that an older or less exact statement ends or begins, and against one that nothing ends.
func TestLatestStatementDecidesColdness(t *testing.T) {
	f, time, s := newColdFleet(1_000_000, 1)
	row := func(left, age clock.Millis) {
		f.ApplyRows([]Server{s}, map[poplarwinch.UpstreamID]ColdRow{"s": {Left: left, ReadAt: time.Now() - age}})
	}
	want := func(step string, cold int) {
		t.Helper()
		if got := f.ColdServers(); got != cold {
			t.Errorf("%s: %d cold servers, want %d", step, got, cold)
		}
		time.Advance(10)
	}
	want("a process that started long ago", 0)
	row(3000, 0)
	want("a row with time left", 1)
	row(0, 0)
	want("a later row without", 0)
	sent := time.Now()
	time.Advance(5)
	f.Observe(s, Notice{Cold: Coldness{Known: true, Left: 2000}}, sent)
	want("an answer with time left", 1)
	row(0, 0)
	want("a row without, which may have been written before the answer", 1)
	f.Observe(s, Notice{Cold: Coldness{Known: true}}, sent)
	want("an answer to an earlier request", 1)
	f.Observe(s, Notice{}, time.Now())
	want("an answer that says nothing", 1)
	f.Observe(s, Notice{Cold: Coldness{Known: true}}, time.Now())
	want("an answer to a later request", 0)
	row(3000, 1000)
	want("a row that was read before that", 0)
	f.Merge("peer", Report{Servers: []ServerWork{{ID: "s", Cold: ColdReport{Boot: 1, Coldness: Coldness{Known: true, Left: 800}}}}})
	want("a peer's later answer", 1)
	f.Merge("peer", Report{Servers: []ServerWork{{ID: "s", Cold: ColdReport{Boot: 7, Coldness: Coldness{Known: true}}}}})
	want("a peer's answer from another process", 1)
	time.Advance(800)
	want("the time has passed", 0)
}

// Guards against new processes that count as warm until their rows say otherwise, or as cold for longer than their service names.
func TestNewProcessIsCold(t *testing.T) {
	for _, c := range []struct {
		born int64
		left clock.Millis
	}{{1_000_000, 3000}, {999_000, 2000}, {996_000, 0}, {1_900_000, 3000}} {
		f, time, s := newColdFleet(1_000_000, 1)
		s.Boot = c.born
		f.ApplyRows([]Server{s}, map[poplarwinch.UpstreamID]ColdRow{"s": {ReadAt: time.Now()}})
		for _, at := range []struct{ after, cold clock.Millis }{{max(c.left-1, 0), min(c.left, 1)}, {1, 0}} {
			time.Advance(at.after)
			if got := f.ColdServers(); got != int(at.cold) {
				t.Errorf("born at %d: %d cold servers, want %d", c.born, got, at.cold)
			}
		}
	}
}

// Guards against a failure domain that gets the load of warm servers at the end of its evacuation, and against one that stays cold although
// its rows say that it isn't.
func TestReturnedDomainIsCold(t *testing.T) {
	f, time, s := newColdFleet(1_000_000, 1)
	f.mutex.Lock()
	f.domainReturned("b", time.Now())
	cold := f.servers["s"].isCold(time.Now())
	f.domainReturned("a", time.Now())
	f.mutex.Unlock()
	if cold || f.ColdServers() != 1 {
		t.Errorf("another domain returned: cold is %t; its own: %d cold servers", cold, f.ColdServers())
	}
	rows := map[poplarwinch.UpstreamID]ColdRow{"s": {ReadAt: time.Now() - 1}}
	if f.ApplyRows([]Server{s}, rows); f.ColdServers() != 1 {
		t.Error("a row that was read before ended the coldness")
	}
	time.Advance(10)
	rows["s"] = ColdRow{ReadAt: time.Now()}
	if f.ApplyRows([]Server{s}, rows); f.ColdServers() != 0 {
		t.Error("a later row did not end the coldness")
	}
}

// Guards against cold servers that get requests from other cells, and against load or coldness that is lost when the row changes.
func TestChangesOfRowsKeepLoad(t *testing.T) {
	f, time, s := newColdFleet(1_000_000, 1)
	f.Begin(Work{First: "s"})
	far := Server{ID: "far", Domain: "b", Service: "plain", Slots: 4, Boot: 1}
	f.ApplyRows([]Server{s, far}, map[poplarwinch.UpstreamID]ColdRow{"s": {Left: 500, ReadAt: time.Now()}, "far": {Left: 500, ReadAt: time.Now()}})
	for _, c := range f.Candidates("plain") {
		if c.ID == "far" && c.Wait != 500 {
			t.Errorf("the wait for a cold server of another cell is %d ms, want 500", c.Wait)
		}
		if c.ID == "s" && (c.Load.Requests != 1 || !c.Cold) {
			t.Errorf("got %+v, want one request and a cold server", c)
		}
	}
}

// Guards against parts of prompts and orders for reservations that are not counted as requests to cold servers.
func TestHelpersAndOrdersCount(t *testing.T) {
	for name, use := range map[string]func(f *Fleet){
		"request": func(f *Fleet) { f.Begin(Work{First: "s"}) },
		"part":    func(f *Fleet) { f.Begin(Work{First: "other", Helpers: []poplarwinch.UpstreamID{"s"}}) },
		"order":   func(f *Fleet) { f.CountOrders([]poplarwinch.UpstreamID{"s"}) },
	} {
		f, time, s := newColdFleet(1_000_000, 1)
		f.ApplyRows([]Server{s}, map[poplarwinch.UpstreamID]ColdRow{"s": {Left: 5000, ReadAt: time.Now()}})
		if c := f.Candidates("plain")[0]; c.Wait > 0 {
			t.Fatalf("%s: no slot at the beginning", name)
		}
		use(f)
		if !f.Accepts("s") {
			t.Errorf("%s: the request that follows orders is not accepted", name)
		}
		if c := f.Candidates("plain")[0]; c.Wait == 0 {
			t.Errorf("%s: another request is allowed at once", name)
		}
	}
}

// Guards against reports that grow with the number of cold servers: each instance of a cell sends them to all others at each change.
func TestReportsOfManyColdServersAreShort(t *testing.T) {
	f, time, _ := newColdFleet(1_000_000, 1)
	var list []Server
	rows := map[poplarwinch.UpstreamID]ColdRow{}
	for n := range 100 {
		id := poplarwinch.UpstreamID(fmt.Sprintf("s%d", n))
		list = append(list, Server{ID: id, Domain: "a", Service: "plain", Slots: 4, Boot: 1})
		rows[id] = ColdRow{Left: 5000, ReadAt: time.Now()}
	}
	f.ApplyRows(list, rows)
	f.WantCold("plain")
	sent := time.Now()
	f.Begin(Work{First: "s7"}).End()
	f.Observe(list[8], Notice{Cold: Coldness{Known: true, Left: 5000}}, sent)
	f.Observe(list[9], Notice{Cold: Coldness{Known: true, Left: 2000}}, sent)
	if r := f.Report(); len(r.Servers) != 2 || len(r.Cold) != 1 {
		t.Errorf("got %+v, want the server that got a request, the one that said something new, and the service", r)
	}
	time.Advance(1000)
	if r := f.Report(); len(r.Servers) != 0 || len(r.Cold) != 0 {
		t.Errorf("after a second: got %+v, want nothing", r)
	}
}

// BenchmarkCandidatesWhileCold shows what the view of the fleet costs where all engines of a cell of 30 instances are cold.
func BenchmarkCandidatesWhileCold(b *testing.B) {
	time := clock.NewManual(100_000)
	var members []poplarwinch.InstanceID
	for n := range 30 {
		members = append(members, poplarwinch.InstanceID(fmt.Sprintf("i%d", n)))
	}
	f := New(WithClock(time.Clock()), WithDomain("a"), WithInstance("i7"), WithCellMembers(func() []poplarwinch.InstanceID { return members }))
	f.SetCold(map[poplarwinch.ServiceName]route.Cold{"pool": {Start: 3000, PerSecond: 15}})
	var list []Server
	rows := map[poplarwinch.UpstreamID]ColdRow{}
	for n := range 100 {
		id := poplarwinch.UpstreamID(fmt.Sprintf("s%d", n))
		list = append(list, Server{ID: id, Domain: "a", Service: "pool", Slots: 10})
		rows[id] = ColdRow{Left: 60_000, ReadAt: time.Now()}
	}
	f.ApplyRows(list, rows)
	time.Advance(4000)
	b.ReportAllocs()
	for b.Loop() {
		f.Candidates("pool")
	}
}

// Guards against requests after a reservation that exceed the limit of a server because it is cold as well.
func TestColdServerKeepsItsLimit(t *testing.T) {
	f, time, s := newColdFleet(1_000_000, 1)
	f.Observe(s, Notice{Limit: 1, Cold: Coldness{Known: true, Left: 5000}}, time.Now())
	f.Begin(Work{First: "s"})
	f.Begin(Work{First: "s"})
	if f.Accepts("s") {
		t.Error("a third request is accepted at once, with a limit of 1/s")
	}
}
