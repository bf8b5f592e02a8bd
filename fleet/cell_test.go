package fleet_test

import (
	"fmt"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// divided returns the fleet of an instance in a failure domain with the number of engines, divided into cells.
func divided(engines int, c fleet.Cell) *fleet.Fleet {
	f := fleet.New(fleet.WithClock(clock.NewManual(1000).Clock()), fleet.WithDomain("north"))
	var list []fleet.Server
	for i := range engines {
		list = append(list, fleet.Server{ID: poplarwinch.UpstreamID(fmt.Sprintf("engine-%d", i)), Domain: "north", Service: "pool", Slots: 10})
	}
	f.Apply(list)
	f.SetCell(c)
	return f
}

// Guards against decisions whose cost grows with the deployment, and against engines that no cell places requests on: each engine
// is in exactly one cell, and a cell sees its own only until another one sends a summary.
func TestCellsShareTheEngines(t *testing.T) {
	const engines, cells = 203, 4
	owner := map[poplarwinch.UpstreamID]int{}
	for i := range cells {
		list := divided(engines, fleet.Cell{Index: i, Count: cells}).Candidates("pool")
		if n := len(list); n < engines/cells || n > engines/cells+1 {
			t.Errorf("cell %d has %d engines, want a quarter of %d", i, n, engines)
		}
		for _, c := range list {
			if before, ok := owner[c.ID]; ok || c.OtherCell || !c.LoadKnown {
				t.Errorf("%s is in the cells %d and %d: %+v", c.ID, before, i, c)
			}
			owner[c.ID] = i
		}
	}
	if len(owner) != engines {
		t.Errorf("%d of %d engines are in a cell", len(owner), engines)
	}
}

// Guards against the load of a cell that no longer sends summaries, which lives on because two instances forward it to each other: a
// forwarded summary keeps its age.
func TestForwardedSummariesExpire(t *testing.T) {
	time := clock.NewManual(1000)
	var forwarders []*fleet.Fleet
	for range 2 {
		f := fleet.New(fleet.WithClock(time.Clock()), fleet.WithDomain("north"))
		f.Apply(servers())
		forwarders = append(forwarders, f)
	}
	forwarders[0].MergeSummary(fleet.Summary{Domain: "south", Servers: []fleet.ServerWork{{ID: "e3", Load: fleet.Load{Requests: 1}}}})
	for n := range 8 {
		time.Advance(200)
		for _, s := range forwarders[n%2].Summaries() {
			forwarders[1-n%2].MergeSummary(s)
		}
	}
	for i, f := range forwarders {
		if list := f.Summaries(); len(list) != 0 {
			t.Errorf("instance %d still has %+v after 1.6 s", i, list)
		}
	}
}

// Guards against engines of other cells that stay unused while the own ones are full, and against loads that are taken for
// those of idle engines because a summary is short of space: it then lists the least loaded engines and says so.
func TestCellsUseEnginesOfOthers(t *testing.T) {
	const engines = 400
	first, second := divided(engines, fleet.Cell{Index: 0, Count: 2}), divided(engines, fleet.Cell{Index: 1, Count: 2})
	own := len(second.Candidates("pool"))
	busy := map[poplarwinch.UpstreamID]bool{}
	for i, c := range first.Candidates("pool") {
		if i < 150 {
			first.Begin(fleet.Work{First: c.ID, Prefill: 50})
			busy[c.ID] = true
		}
	}
	summary := first.Summary()
	if !summary.Partial || len(summary.Servers) != 64 {
		t.Fatalf("got %d servers, partial %t, want the 64 least loaded", len(summary.Servers), summary.Partial)
	}
	second.MergeSummary(summary)
	others, idle := 0, 0
	for _, c := range second.Candidates("pool") {
		if !c.OtherCell {
			continue
		}
		others++
		if c.Load == (fleet.Load{}) {
			idle++
			if busy[c.ID] {
				t.Errorf("%s is busy, but known as idle", c.ID)
			}
		}
	}
	if others != 64 || idle != 50 || len(second.Candidates("pool")) != own+64 {
		t.Errorf("%d engines of the other cell are known, %d of them idle, want 64 and 50", others, idle)
	}
	second.SetCell(fleet.Cell{Index: 0, Count: 1})
	if n := len(second.Candidates("pool")); n != engines {
		t.Errorf("an undivided failure domain has %d candidates, want %d, each once", n, engines)
	}
}
