package fleet_test

import (
	"fmt"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// isAvailable reports whether a server gets requests in one of the ways of asking, and fails the test if they disagree.
func isAvailable(t *testing.T, f *fleet.Fleet, id poplarwinch.UpstreamID) bool {
	t.Helper()
	_, listed := f.Server(id)
	candidate := false
	for _, c := range f.Candidates("pool") {
		candidate = candidate || c.ID == id
	}
	if accepts := f.Accepts(id); accepts != listed || candidate != listed {
		t.Errorf("%s: listed %v, candidate %v, accepts %v", id, listed, candidate, accepts)
	}
	return listed
}

// Guards against requests to servers of an evacuated failure domain, at fleets of deployments with 1, 6 and 60 instances, whichever cell
// and summary the servers are known from, and against servers that stay without requests after it.
func TestServersOfAnEvacuatedDomainAreNotAvailable(t *testing.T) {
	for _, size := range []struct{ instances, engines, cells int }{{1, 3, 1}, {6, 60, 1}, {60, 600, 4}} {
		for _, own := range []poplarwinch.FailureDomain{"d0", "d1"} {
			f := fleet.New(fleet.WithClock(clock.NewManual(1000).Clock()), fleet.WithDomain(own))
			var list []fleet.Server
			for i := range size.engines {
				list = append(list, fleet.Server{
					ID: poplarwinch.UpstreamID(fmt.Sprintf("e%d", i)), Domain: poplarwinch.FailureDomain(fmt.Sprintf("d%d", i%3)), Service: "pool", Slots: 4,
				})
			}
			f.Apply(list)
			f.SetCell(fleet.Cell{Count: size.cells})
			for d := range 3 {
				for c := range size.cells {
					f.MergeSummary(fleet.Summary{Domain: poplarwinch.FailureDomain(fmt.Sprintf("d%d", d)), Cell: fleet.Cell{Index: c, Count: size.cells}})
				}
			}
			before := f.Candidates("pool")
			for range 2 { // told twice
				f.SetEvacuated([]poplarwinch.FailureDomain{"d0"})
				for i := range size.engines {
					id := poplarwinch.UpstreamID(fmt.Sprintf("e%d", i))
					if got := isAvailable(t, f, id); got != (i%3 != 0) {
						t.Fatalf("%d instances, own domain %s: server %s of domain d%d is available: %v", size.instances, own, id, i%3, got)
					}
				}
				f.Apply(list) // a new list of the same servers
			}
			f.SetEvacuated(nil)
			after := f.Candidates("pool")
			if len(after) != len(before) {
				t.Errorf("%d instances: %d candidates after the evacuation, want %d", size.instances, len(after), len(before))
			}
		}
	}
}

// Guards against ranks and cells that depend on evacuations: instances learn of one at different times, but have to agree on the order.
func TestEvacuationKeepsRanks(t *testing.T) {
	w := newFixture()
	before := w.candidate(t, "e2").Rank
	w.SetEvacuated([]poplarwinch.FailureDomain{"south"})
	if got := w.candidate(t, "e2").Rank; got != before {
		t.Errorf("rank %d during the evacuation, want %d", got, before)
	}
}

// Guards against waiting requests that don't learn of an evacuation or its end, and against wakes for a set that is told again.
func TestChangeOfEvacuationsWakesWaitingRequests(t *testing.T) {
	w := newFixture()
	for n, step := range []struct {
		domains []poplarwinch.FailureDomain
		wakes   bool
	}{
		{nil, false},
		{[]poplarwinch.FailureDomain{"north"}, true},
		{[]poplarwinch.FailureDomain{"north", "north"}, false},
		{[]poplarwinch.FailureDomain{"south", "north"}, true},
		{[]poplarwinch.FailureDomain{}, true},
	} {
		changed := w.Changed()
		w.SetEvacuated(step.domains)
		woken := false
		select {
		case <-changed:
			woken = true
		default:
		}
		if woken != step.wakes {
			t.Errorf("step %d: waiting requests woken: %v, want %v", n, woken, step.wakes)
		}
	}
}

// Guards against an evacuation that touches what runs: its load stays until it ends, and neighbours are not named for probes.
func TestEvacuationKeepsRunningRequests(t *testing.T) {
	w := newFixture()
	ticket := w.Begin(fleet.Work{First: "e3", Helpers: []poplarwinch.UpstreamID{"e1"}, Shares: map[poplarwinch.UpstreamID]poplarwinch.Tokens{"e2": 5}})
	w.SetEvacuated([]poplarwinch.FailureDomain{"north"})
	if n := w.DomainRequests("north"); n != 1 {
		t.Errorf("%d requests run in the domain, want 1", n)
	}
	if list := w.Neighbours(servers()[0]); len(list) > 0 {
		t.Errorf("neighbours %v of a server in an evacuated domain are named", list)
	}
	if list := w.CandidatesWithout(ticket, "pool"); len(list) > 0 {
		t.Errorf("%v may take over", list)
	}
	ticket.End()
	w.SetEvacuated(nil)
	for _, c := range w.Candidates("pool") {
		if c.Load != (fleet.Load{}) {
			t.Errorf("%s has %+v after the end", c.ID, c.Load)
		}
	}
}

// Guards against a server that becomes available because it moves to, or starts anew in, an evacuated failure domain.
func TestServerAddedToAnEvacuatedDomain(t *testing.T) {
	w := newFixture()
	w.SetEvacuated([]poplarwinch.FailureDomain{"west"})
	list := servers()
	list[0].Domain = "west"
	list[1].Domain, list[1].Boot = "west", 9
	w.Apply(append(list, fleet.Server{ID: "e4", Domain: "west", Service: "pool", Slots: 4}))
	for _, id := range []poplarwinch.UpstreamID{"e1", "e2", "e4"} {
		if isAvailable(t, w.Fleet, id) {
			t.Errorf("%s is available", id)
		}
	}
	if w.IsServiceEvacuated("pool") {
		t.Error("the service has a server elsewhere")
	}
	w.SetEvacuated([]poplarwinch.FailureDomain{"west", "south"})
	if !w.IsServiceEvacuated("pool") || w.IsServiceEvacuated("other") {
		t.Error("the service has servers in evacuated domains only")
	}
}
