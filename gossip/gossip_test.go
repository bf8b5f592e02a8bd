package gossip_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/emulator/loopback"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/gossip"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/replica"
)

// instance is an instance on the loopback interface with its own table source.
type instance struct {
	gossip  *gossip.Gossip
	fleet   *fleet.Fleet
	table   *replica.Replica
	stop    context.CancelFunc
	address netip.AddrPort
}

// start starts an instance; read is its source of the table "servers", and nil if the source rejects its reads.
func start(t *testing.T, id poplarwinch.InstanceID, domain poplarwinch.FailureDomain, read func() replica.Batch, opts ...gossip.Option) *instance {
	t.Helper()
	l, udp, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	logger := &log.Logger{Handler: discard.New()}
	i := &instance{address: address}
	i.fleet = fleet.New(fleet.WithDomain(domain), fleet.WithNotify(func(r fleet.Reach) { i.gossip.ScheduleUpdate(r) }))
	readAll := func(context.Context) (replica.Batch, error) {
		if read == nil {
			return replica.Batch{}, fmt.Errorf("the source refuses %s", id)
		}
		return read(), nil
	}
	changes := func(ctx context.Context, _ replica.Version) (replica.Batch, error) {
		<-ctx.Done()
		return replica.Batch{}, ctx.Err()
	}
	i.table = replica.New("servers", replica.WithSource(readAll, changes), replica.WithLog(logger),
		replica.WithOnChange(func([]replica.Row) { i.gossip.ScheduleUpdate(fleet.ReachAll) }))
	opts = append([]gossip.Option{
		gossip.WithFleet(i.fleet), gossip.WithLog(logger), gossip.WithSuspects(quarantine.New()),
		gossip.WithReplicas(map[string]*replica.Replica{"servers": i.table}),
	}, opts...)
	if i.gossip, err = gossip.New(gossip.Member{ID: id, Domain: domain, Address: address}, opts...); err != nil {
		t.Fatal(err)
	}
	i.fleet.Apply([]fleet.Server{{ID: "e1", Service: "pool", Domain: "north", Slots: 16}})
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	go i.gossip.Run(ctx, udp)
	go i.table.Run(ctx)
	go func() { _ = i.gossip.Serve(l) }()
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
	})
	return i
}

// eventually waits up to 10 s for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}

func snapshotAt(version replica.Version) func() replica.Batch {
	return func() replica.Batch {
		return replica.Batch{Rows: []replica.Row{{Key: "e1", Value: []byte("x"), Version: version}}, Version: version, Complete: true}
	}
}

// Guards against scheduling without knowing the load of other instances: the start and end of a request must reach peers.
func TestWorkIsShared(t *testing.T) {
	a := start(t, "a", "north", snapshotAt(3))
	b := start(t, "b", "north", snapshotAt(3))
	b.gossip.Add([]gossip.Member{a.gossip.Self()})
	eventually(t, "both know each other", func() bool { return a.gossip.Alive() == 2 && b.gossip.Alive() == 2 })
	requests := func() int { return b.fleet.Candidates("pool")[0].Load.Requests }
	ticket := a.fleet.Begin(fleet.Work{First: "e1", Prefill: 100})
	eventually(t, "b sees the request of a", func() bool { return requests() == 1 })
	ticket.End()
	eventually(t, "b sees its end", func() bool { return requests() == 0 })
	a.stop()
	eventually(t, "b counts a as dead", func() bool { return b.gossip.Alive() == 1 })
}

// Guards against instances that don't hear from each other which servers are leaving, or hear it only with the next heartbeat.
func TestNoticesReachPeers(t *testing.T) {
	a := start(t, "a", "north", snapshotAt(3))
	b := start(t, "b", "south", snapshotAt(3))
	b.gossip.Add([]gossip.Member{a.gossip.Self()})
	eventually(t, "both know each other", func() bool { return a.gossip.Alive() == 2 && b.gossip.Alive() == 2 })
	usable := func() bool { _, ok := b.fleet.Server("e1"); return ok }
	server, ok := a.fleet.Server("e1")
	if !ok || !usable() {
		t.Fatal("the server is not listed")
	}
	told := time.Now()
	a.fleet.Observe(server, fleet.Notice{Leaving: true}, 1)
	eventually(t, "b knows that the server is leaving", func() bool { return !usable() })
	if took := time.Since(told); took > 500*time.Millisecond {
		t.Errorf("b knew after %v", took)
	}
}

// Guards against an instance that never loads a table because the store rejects its reads: it must fetch it from a peer.
func TestTableIsFetchedFromPeer(t *testing.T) {
	a := start(t, "a", "north", snapshotAt(5))
	b := start(t, "b", "south", nil)
	b.gossip.Add([]gossip.Member{{Address: a.address}})
	eventually(t, "b has the table", func() bool {
		p, ok := b.table.Position()
		return ok && p.Version == 5
	})
}

// Guards against all instances of a failure domain reading the tables: two of them must, and others must take over when these
// stop.
func TestFollowersAreReplaced(t *testing.T) {
	var all []*instance
	var members []gossip.Member
	for n := range 5 {
		i := start(t, poplarwinch.InstanceID(fmt.Sprintf("i%d", n)), "north", snapshotAt(2))
		all = append(all, i)
		members = append(members, i.gossip.Self())
	}
	for _, i := range all {
		i.gossip.Add(members)
	}
	following := func() int {
		n := 0
		for _, i := range all {
			if i.table.Following() {
				n++
			}
		}
		return n
	}
	eventually(t, "two of five follow", func() bool { return all[0].gossip.Alive() == 5 && following() == 2 })
	var remaining []*instance
	for _, i := range all {
		if i.table.Following() {
			i.stop()
		} else {
			remaining = append(remaining, i)
		}
	}
	all = remaining
	eventually(t, "two others take over", func() bool { return following() == 2 })
}

// manyInstances is a number of instances per failure domain that makes the deployment large enough for summaries.
const manyInstances = 17

// Guards against scheduling very long prompts without the load in other failure domains when these have too many instances to
// send each change to: one instance of each failure domain must follow the tables, exchange summaries and forward them.
func TestSummariesAreForwarded(t *testing.T) {
	var all []*instance
	var members []gossip.Member
	add := func(id string, domain poplarwinch.FailureDomain) *instance {
		i := start(t, poplarwinch.InstanceID(id), domain, snapshotAt(2))
		all = append(all, i)
		members = append(members, i.gossip.Self())
		return i
	}
	for n := range manyInstances {
		add(fmt.Sprintf("n%d", n), "north")
		add(fmt.Sprintf("s%d", n), "south")
	}
	for _, i := range all {
		i.gossip.Add(members)
	}
	candidate := func(i *instance) fleet.Candidate { return i.fleet.Candidates("pool")[0] }
	ticket := all[0].fleet.Begin(fleet.Work{First: "e1", Prefill: 100, MaxPause: 250, Due: 1 << 60})
	allSee := func(requests int) func() bool {
		return func() bool {
			for _, i := range all {
				if c := candidate(i); !c.LoadKnown || c.Load.Requests != requests {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "all instances see the request in the north", allSee(1))
	ticket.End()
	eventually(t, "all instances see its end", allSee(0))
	following := 0
	for _, i := range all {
		if i.table.Following() {
			following++
		}
	}
	if following != 2 {
		t.Errorf("%d instances follow the table, want one of each failure domain", following)
	}
}

// Guards against an instance that its peers ignore forever because its wall clock was set back before a restart.
func TestClockSetBack(t *testing.T) {
	a := start(t, "a", "north", snapshotAt(1))
	b := start(t, "b", "north", snapshotAt(1), gossip.WithBoot(2000))
	b.gossip.Add([]gossip.Member{a.gossip.Self()})
	eventually(t, "a knows b", func() bool { return a.gossip.Alive() == 2 })
	b.stop()
	restarted := start(t, "b", "north", snapshotAt(1), gossip.WithBoot(1000))
	restarted.gossip.Add([]gossip.Member{a.gossip.Self()})
	restarted.fleet.Begin(fleet.Work{First: "e1"})
	eventually(t, "a sees the load of b after its restart", func() bool { return a.fleet.Candidates("pool")[0].Load.Requests == 1 })
}

// Guards against malformed datagrams that crash an instance or stop it from receiving.
func TestMalformedDatagrams(t *testing.T) {
	a := start(t, "a", "north", snapshotAt(1))
	connection, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(a.address))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	for _, data := range []string{"", "x", "\xff\xff\xff", "\x89\x61a\x61b\x01\x01\xa0\x80\x80\xf4\xf4", string(make([]byte, 2000))} {
		if _, err := connection.Write([]byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	b := start(t, "b", "north", snapshotAt(1))
	b.gossip.Add([]gossip.Member{a.gossip.Self()})
	eventually(t, "a still receives datagrams", func() bool { return b.gossip.Alive() == 2 })
}
