package gossip

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/replica"
)

// Guards against followers that break off healthy reads and fetch from peers at nearly every change: each change that a peer knows
// a little earlier gets its own time to arrive, whatever earlier ones took.
func TestEachChangeHasTimeToArrive(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	time := clock.NewManual(1000)
	never := func(ctx context.Context, _ replica.Version) (replica.Batch, error) {
		<-ctx.Done()
		return replica.Batch{}, ctx.Err()
	}
	r := replica.New("servers", replica.WithClock(time.Clock()),
		replica.WithSource(func(ctx context.Context) (replica.Batch, error) { return never(ctx, 0) }, never))
	merge := func(version replica.Version) { r.Merge(replica.Batch{Version: version, Complete: true}) }
	g, err := New(Member{ID: "a", Domain: "north"}, WithClock(time.Clock()), WithFleet(fleet.New()), WithSuspects(quarantine.New()),
		WithReplicas(map[string]*replica.Replica{"servers": r}))
	if err != nil {
		t.Fatal(err)
	}
	peer := Member{ID: "b", Domain: "south", Address: silent.Addr().(*net.TCPAddr).AddrPort()}
	fetching := func() bool {
		started := g.fetches.start("servers")
		if started {
			g.fetches.end("servers")
		}
		return !started
	}
	merge(1)
	for version := replica.Version(2); version < 5; version++ {
		g.comparePositions(peer, false, map[string]replica.Position{"servers": at(version)})
		if fetching() {
			t.Fatalf("version %d is fetched although it was just announced", version)
		}
		time.Advance(20)
		merge(version)
		time.Advance(900)
	}
	g.comparePositions(peer, false, map[string]replica.Position{"servers": at(9)})
	time.Advance(fetchDelay)
	g.comparePositions(peer, false, map[string]replica.Position{"servers": at(10)})
	if !fetching() {
		t.Error("a version that does not arrive is not fetched")
	}
}

// Guards against cells of unequal size, against an instance in none, and against a division that changes for most instances when
// one comes.
func TestCells(t *testing.T) {
	for _, test := range []struct{ members, cells int }{{1, 1}, {32, 1}, {33, 2}, {60, 2}, {65, 4}, {124, 4}, {130, 8}} {
		sizes := map[fleet.Cell]int{}
		moved := 0
		for _, m := range members(test.members) {
			c := cellOf(members(test.members), m)
			sizes[c]++
			if cellOf(append(members(test.members), "another"), m) != c {
				moved++
			}
		}
		if len(sizes) != test.cells {
			t.Errorf("%d members are in %d cells, want %d", test.members, len(sizes), test.cells)
		}
		for c, n := range sizes {
			if n < test.members/test.cells || n > test.members/test.cells+1 {
				t.Errorf("cell %+v of %d members has %d", c, test.members, n)
			}
		}
		if grows := test.members == test.cells*maxCellInstances; !grows && moved > test.cells {
			t.Errorf("%d of %d members change their cell when one comes", moved, test.members)
		}
	}
}

func members(n int) []poplarwinch.InstanceID {
	list := make([]poplarwinch.InstanceID, n)
	for i := range list {
		list[i] = poplarwinch.InstanceID(fmt.Sprintf("entry-%d", i))
	}
	return list
}

// Guards against cells that no other cell sends its summary to, and against followers whose summaries grow with the deployment.
func TestEachCellGetsSummaries(t *testing.T) {
	for _, test := range []struct{ own, other int }{{1, 1}, {1, 4}, {2, 4}, {4, 2}, {4, 4}, {8, 1}} {
		for other := range test.other {
			senders := 0
			for own := range test.own {
				g := &Gossip{self: Member{Domain: "north"}, cell: fleet.Cell{Index: own, Count: test.own}}
				if g.exchangesSummaries(&peerState{Member: Member{Domain: "south"}, cell: fleet.Cell{Index: other, Count: test.other}}) {
					senders++
				}
			}
			if most := max(1, test.own/test.other); senders < 1 || senders > most {
				t.Errorf("cell %d of %d gets %d summaries of a domain with %d cells, want 1 to %d", other, test.other, senders, test.own, most)
			}
		}
	}
}
