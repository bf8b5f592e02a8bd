package gossip

import (
	"fmt"
	"net"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
)

// Guards against load on the servers of another cell that its instances forget while it lasts: their reports expire, and heartbeats
// between cells are rare in a large deployment.
func TestDistantLoadIsRepeated(t *testing.T) {
	time := clock.NewManual(1000)
	servers := fleet.New(fleet.WithClock(time.Clock()), fleet.WithDomain("north"))
	servers.Apply([]fleet.Server{{ID: "near", Service: "pool", Domain: "north"}, {ID: "far", Service: "pool", Domain: "south"}})
	g, err := New(Member{ID: "i", Domain: "north"}, WithFleet(servers), WithSuspects(quarantine.New()), WithClock(time.Clock()))
	if err != nil {
		t.Fatal(err)
	}
	for n := range manyPeers {
		id := poplarwinch.InstanceID(fmt.Sprintf("s%d", n))
		g.peers[id] = &peerState{Member: Member{ID: id, Domain: "south"}, heardAt: 1000, cell: g.cell}
	}
	g.countDistantPeers()
	connection, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	for server, repeated := range map[poplarwinch.UpstreamID]bool{"near": false, "far": true} {
		ticket := servers.Begin(fleet.Work{First: server})
		g.due.affected = 0
		g.sendWork(connection, true, true, false)
		if due := g.due.affected; (due != 0) != repeated || due > time.Now()+3*clock.Second {
			t.Errorf("load on the %s server: the next report is due at %d, now is %d", server, due, time.Now())
		}
		ticket.End()
	}
}

// manyPeers is a number of distant peers that makes the deployment large.
const manyPeers = 20
