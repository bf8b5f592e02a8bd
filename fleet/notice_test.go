package fleet_test

import (
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// notice returns what the fleet reports to others of the server's notices.
func (w *fixture) notice(id poplarwinch.UpstreamID) fleet.NoticeReport {
	w.time.Advance(1000) // reports of servers without load come once a second
	for _, s := range w.Report().Servers {
		if s.ID == id {
			return s.Notice
		}
	}
	return fleet.NoticeReport{}
}

// Guards against notices that an older answer ends, which arrives late, and against notices that no later answer ends.
func TestOnlyLaterAnswersEndNotices(t *testing.T) {
	w := newFixture()
	e1 := servers()[0]
	before := w.time.Now()
	w.time.Advance(50)
	said := w.time.Now()
	if !w.Observe(e1, fleet.Notice{Leaving: true, Limit: 2}, before) || w.Observe(e1, fleet.Notice{Leaving: true, Limit: 2}, before) {
		t.Error("a notice is new once")
	}
	for name, sentAt := range map[string]clock.Millis{"an answer to an earlier request": before, "one to a request of the same moment": said, "a rejection": 0} {
		if w.Observe(e1, fleet.Notice{}, sentAt) {
			t.Errorf("%s ended a notice", name)
		}
	}
	if n := w.notice("e1"); !n.Leaving.Leaving || n.Limit.Rate != 2 {
		t.Errorf("got %+v, want both notices", n)
	}
	if !w.Observe(e1, fleet.Notice{Limit: 2}, said+1) {
		t.Error("the server still counts as leaving after a later answer")
	}
	if n := w.notice("e1"); !n.Leaving.Known || n.Leaving.Leaving || n.Limit.Rate != 2 {
		t.Errorf("got %+v, want the limit and the end of the other notice", n)
	}
}

// Guards against the notices of an earlier process of a server that are taken for those of its successor under the same id: known ones,
// those of an answer that arrives late, and those of a peer that doesn't know the successor yet.
func TestSuccessorHasNoNotices(t *testing.T) {
	w := newFixture()
	first := servers()[0]
	w.Observe(first, fleet.Notice{Leaving: true, Rest: 5000, Limit: 2}, 1)
	list := servers()
	list[0].Boot = 2
	w.Apply(list)
	w.Observe(first, fleet.Notice{Leaving: true, Rest: 5000, Limit: 2}, 1)
	w.Merge("peer", fleet.Report{Servers: []fleet.ServerWork{{ID: "e1", Notice: fleet.NoticeReport{
		Boot: 0, Leaving: fleet.LeavingReport{Known: true, Leaving: true}, Limit: fleet.LimitReport{Known: true, Rate: 2}, Rest: 5000,
	}}}})
	if n := w.notice("e1"); n.Known() {
		t.Errorf("the successor has %+v", n)
	}
	w.Begin(fleet.Work{First: "e1"}).End()
	w.Begin(fleet.Work{First: "e1"}).End()
	if c := w.candidate(t, "e1"); c.Wait > 0 {
		t.Errorf("the successor counts as limited: %+v", c)
	}
}

// Guards against notices that travel on from peer to peer for ever, and against a peer's older report that ends a notice.
func TestNoticesOfPeers(t *testing.T) {
	w := newFixture()
	report := func(leaving bool, age clock.Millis) {
		w.Merge("peer", fleet.Report{Servers: []fleet.ServerWork{{ID: "e1", Notice: fleet.NoticeReport{
			Leaving: fleet.LeavingReport{Known: true, Leaving: leaving, Age: age}, Limit: fleet.LimitReport{Known: true, Rate: 1, Age: age},
		}}}})
	}
	report(true, 10)
	if n := w.notice("e1"); n.Known() {
		t.Errorf("told others of a peer's notice: %+v", n)
	}
	w.Observe(servers()[0], fleet.Notice{Leaving: true, Limit: 1}, 1)
	w.time.Advance(100)
	report(false, 500)
	if n := w.notice("e1"); !n.Leaving.Leaving {
		t.Errorf("got %+v, an older report of a peer ended the notice", n)
	}
	report(false, 0)
	if n := w.notice("e1"); n.Leaving.Leaving {
		t.Errorf("got %+v, a peer's later answer did not end the notice", n)
	}
}

// Guards against notices of the list of servers that are never taken back, and against a list that takes back what a server says itself.
func TestListOfLeavingServers(t *testing.T) {
	w := newFixture()
	list := servers()
	list[0].Leaving = true
	w.Apply(list)
	if n := w.notice("e1"); n.Known() {
		t.Errorf("told others what the list says: %+v", n)
	}
	w.Apply(servers())
	if _, usable := w.Server("e1"); !usable {
		t.Error("the server is still leaving although the list says that it is ready")
	}
	w.Observe(servers()[0], fleet.Notice{Leaving: true}, 1)
	w.Apply(servers())
	if n := w.notice("e1"); !n.Leaving.Leaving {
		t.Errorf("got %+v, the list took back what the server says", n)
	}
}

// Guards against an answer that takes back what the list says: servers may leave without saying so in their answers.
func TestAnswersDoNotTakeBackTheList(t *testing.T) {
	w := newFixture()
	list := servers()
	list[0].Leaving = true
	w.Apply(list)
	w.Observe(servers()[0], fleet.Notice{}, w.time.Now()+1)
	w.Observe(servers()[0], fleet.Notice{Leaving: true}, w.time.Now()+2)
	w.time.Advance(10)
	w.Observe(servers()[0], fleet.Notice{}, w.time.Now())
	if _, usable := w.Server("e1"); usable || w.Accepts("e1") {
		t.Error("the server is usable although the list says that it is leaving")
	}
}

// Guards against a span of time that is never over, or ends when a server answers other requests meanwhile.
func TestRestIsBounded(t *testing.T) {
	w := newFixture()
	w.Observe(servers()[0], fleet.Notice{Rest: 3000}, 1)
	w.Observe(servers()[0], fleet.Notice{Rest: 500}, 1)
	w.Observe(servers()[0], fleet.Notice{}, w.time.Now()+1)
	if n := w.notice("e1"); n.Rest != 2000 {
		t.Errorf("1 s later: got %+v, want 2 s", n)
	}
	for seconds, want := range map[float64]clock.Millis{-1: 0, 0: 0, 0.25: 250, 2: 2000, 1e300: 600_000} {
		if got := fleet.NewRest(seconds); got != want {
			t.Errorf("%g s: got %d ms, want %d", seconds, got, want)
		}
	}
}

// Guards against a server that is used again although it is leaving, because its entry of the list lapsed and reappeared.
func TestNoticesSurviveLapsedEntries(t *testing.T) {
	w := newFixture()
	w.Observe(servers()[0], fleet.Notice{Leaving: true, Limit: 1}, 1)
	w.Apply(servers()[1:])
	w.time.Advance(30_000)
	w.Apply(servers())
	if _, usable := w.Server("e1"); usable {
		t.Error("the server is usable after its entry reappeared")
	}
	list := servers()
	list[0].Boot = 2
	w.Apply(servers()[1:])
	w.Apply(list)
	if _, usable := w.Server("e1"); !usable {
		t.Error("the successor counts as leaving")
	}
}

// Guards against instances of other cells that still send requests to a server after it has said to one instance that it is leaving.
func TestOtherCellsLearnOfLeavingServers(t *testing.T) {
	north, south, west := newFixture(), newFixture(), newFixture()
	north.SetCell(fleet.Cell{Index: 0, Count: 1})
	for _, f := range []*fixture{south, west} {
		f.Fleet = fleet.New(fleet.WithClock(f.time.Clock()), fleet.WithDomain("south"))
		f.Apply(servers())
	}
	north.Observe(servers()[0], fleet.Notice{Leaving: true}, 1)
	south.MergeSummary(north.Summary())
	for _, s := range south.Summaries() {
		west.MergeSummary(s)
	}
	for name, f := range map[string]*fixture{"at first hand": south, "forwarded": west} {
		if _, usable := f.Server("e1"); usable {
			t.Errorf("%s: the server is still usable", name)
		}
	}
}

// Guards against requests that are sent to a server all at once after the time for which it wanted none, or never because no answer comes.
func TestRequestsComeBackOneAfterAnother(t *testing.T) {
	w := newFixture()
	e1 := servers()[0]
	send := func() { w.Begin(fleet.Work{First: "e1"}).End() }
	w.Observe(e1, fleet.Notice{Rest: 2000}, 1)
	w.time.Advance(1999)
	if c := w.candidate(t, "e1"); !c.Resting || c.Wait != 1 || w.Accepts("e1") || w.Accepts("e2", "e1") {
		t.Errorf("before the end: got %+v", c)
	}
	w.time.Advance(1)
	if !w.Accepts("e1") {
		t.Error("no request is allowed at the end")
	}
	send()
	if wait := w.candidate(t, "e1").Wait; wait != 1000 {
		t.Errorf("a second request may come after %d ms without an answer, want 1000", wait)
	}
	w.Observe(e1, fleet.Notice{}, w.time.Now()-1)
	if w.Accepts("e1") {
		t.Error("the answer to an earlier request allows another one")
	}
	w.time.Advance(1000)
	if !w.Accepts("e1") {
		t.Error("no further request is allowed although the first one was lost")
	}
	send()
	allowed := 0
	for range 4 {
		w.Observe(e1, fleet.Notice{}, w.time.Now())
		for n := 0; w.Accepts("e1") && n < 10; n++ {
			send()
			allowed++
		}
	}
	if allowed != 3*2+10 {
		t.Errorf("%d requests were allowed, want 2 after each of three answers and any number after the fourth", allowed)
	}
	w.Observe(e1, fleet.Notice{Rest: 500}, 0)
	w.time.Advance(500)
	send()
	if w.Accepts("e1") {
		t.Error("after another such time requests are sent all at once")
	}
}

// Guards against an instance that stops using a server because the server wants no requests from another one.
func TestRestOfPeer(t *testing.T) {
	w := newFixture()
	w.Merge("peer", fleet.Report{Servers: []fleet.ServerWork{{ID: "e1", Notice: fleet.NoticeReport{Rest: 1500}}}})
	if c := w.candidate(t, "e1"); c.Resting || c.Wait > 0 || !c.RestsForPeers || !w.Accepts("e1") {
		t.Errorf("got %+v", c)
	}
	w.time.Advance(1500)
	if c := w.candidate(t, "e1"); c.RestsForPeers {
		t.Errorf("after the time: got %+v", c)
	}
}
