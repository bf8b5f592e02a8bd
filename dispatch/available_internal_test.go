package dispatch

import (
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/cost"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

// Guards against predictions that leave out the way to other failure domains, or assume the delays of another deployment.
func TestPathToOtherDomains(t *testing.T) {
	f := fleet.New(fleet.WithDomain("north"))
	table := &route.Table{Pools: map[poplarwinch.ServiceName]route.Pool{"pool": {DomainDelayMillis: 5.4}}}
	d := New(WithFleet(f), WithDomain("north"), WithActive(func() *route.Table { return table }))
	x := newRun(d, &Request{Service: "pool", PromptTokens: 100, Route: &route.Route{}}, Reply{})
	if got := x.path(); got != 0 {
		t.Errorf("own domain available: %d ms, want 0", got)
	}
	f.SetEvacuated([]poplarwinch.FailureDomain{"north"})
	if got := x.path(); got != 11 {
		t.Errorf("own domain evacuated, 5.4 ms one way: %d ms, want 11", got)
	}
}

// Guards against a cold server that is learned to be slow: it is slow for a short time only.
func TestColdServerIsNotLearned(t *testing.T) {
	m := clock.NewManual(1_000_000)
	f := fleet.New(fleet.WithClock(m.Clock()), fleet.WithDomain("north"))
	f.SetCold(map[poplarwinch.ServiceName]route.Cold{"plain": {PerSecond: 15, Start: 3000}})
	server := fleet.Server{ID: "s", Address: "10.0.0.1:80", Domain: "north", Service: "plain", Slots: 6}
	f.ApplyRows([]fleet.Server{server}, map[poplarwinch.UpstreamID]fleet.ColdRow{"s": {Left: 60_000, ReadAt: m.Now()}})
	e := cost.New(m.Clock(), "north")
	d := New(WithClock(m.Clock()), WithFleet(f), WithDomain("north"), WithActive(func() *route.Table { return &route.Table{} }), WithCost(e, CostUses{}))
	for range 10 {
		x := newRun(d, &Request{Service: "plain", Route: &route.Route{Kind: route.KindIdempotent}}, Reply{})
		selected := &selection{first: server, sentAt: m.Now()}
		x.beginCost(selected)
		m.Advance(500)
		selected.cost.Complete(selected.sentAt)
	}
	if got := e.Usual("plain"); got.Known() {
		t.Errorf("%.0f ms learned from a cold server, want nothing", got.Mean)
	}
}
