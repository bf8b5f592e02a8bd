package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/internal/codec"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/replica"
)

const (
	// nearDelay is the time in which changes are collected before the own failure domain is told.
	nearDelay clock.Millis = 2
	// farDelay is the same for other failure domains, if only one server is concerned.
	farDelay clock.Millis = 150
	// heartbeat is the longest time between two datagrams to a peer of the own failure domain, and to any peer from an
	// instance that follows the tables.
	heartbeat clock.Millis = 1000
	// missedBeats is the number of missing heartbeats after which a peer counts as dead.
	missedBeats = 3
	// fewDistant is the number of peers in other failure domains up to which they get all changes and every heartbeat.
	fewDistant = 16
	// maxDatagram is the largest datagram that is read.
	maxDatagram = 60000
	// maxSuspects bounds the suspects in a datagram.
	maxSuspects = 16
	// summaryBeat is the time between two summaries of an instance that follows the tables.
	summaryBeat clock.Millis = 200
	// newsDelay is the time that the own reading of a table may lag behind a peer's.
	newsDelay clock.Millis = 300
)

// Gossip exchanges datagrams with all members. It is safe for concurrent use.
type Gossip struct {
	self     Member
	fleet    *fleet.Fleet
	suspects *quarantine.Register
	// replicas are the tables whose versions are compared, by name.
	replicas map[string]*replica.Replica
	clock    *clock.Clock
	log      log.Interface
	codec    codec.CBOR
	// boot distinguishes processes of the same instance; a later one has a larger value.
	boot int64
	// startedAt is the time of New.
	startedAt clock.Millis

	mutex    sync.Mutex
	peers    map[poplarwinch.InstanceID]*peerState
	unnamed  map[netip.AddrPort]bool
	distant  int
	sequence uint64
	// nearDue, workDue and farDue are the times of the next datagrams to the own failure domain, to those whom work on distant
	// servers concerns, and to all; summaryDue is that of the next summaries. Zero means never.
	nearDue    clock.Millis
	workDue    clock.Millis
	farDue     clock.Millis
	summaryDue clock.Millis
	// concerned are the failure domains whose servers had work of this instance when it was last told.
	concerned map[poplarwinch.FailureDomain]bool
	wake      chan struct{}
	// behind has the time since which a peer knows a newer version of a table.
	behind map[string]clock.Millis
	calls  callClients
}

// New returns an exchange of the instance self; WithFleet and WithSuspects are required.
func New(self Member, opts ...Option) (*Gossip, error) {
	c, err := codec.NewCBOR()
	if err != nil {
		return nil, err
	}
	g := &Gossip{
		self: self, clock: clock.Monotonic(), log: log.Log, codec: c, boot: time.Now().UnixNano(),
		peers: map[poplarwinch.InstanceID]*peerState{}, unnamed: map[netip.AddrPort]bool{},
		behind: map[string]clock.Millis{}, wake: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.startedAt = g.clock.Now()
	return g, nil
}

// Self returns the member that this instance is.
func (g *Gossip) Self() Member { return g.self }

// Add adds members that are known from elsewhere.
func (g *Gossip) Add(members []Member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, m := range members {
		if m.ID == g.self.ID || m.Address == g.self.Address {
			continue
		}
		if m.ID == "" {
			g.unnamed[m.Address] = true
			continue
		}
		if p := g.peers[m.ID]; p == nil || p.heardAt == 0 {
			g.peers[m.ID] = &peerState{Member: m}
		}
	}
	g.countDistant()
}

// Alive returns the number of instances that are alive, this one included.
func (g *Gossip) Alive() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	n := 1
	for _, p := range g.peers {
		if g.alive(p) {
			n++
		}
	}
	return n
}

func (g *Gossip) alive(p *peerState) bool {
	return p.heardAt != 0 && g.clock.Now()-p.heardAt < missedBeats*g.beat(p.Domain)
}

// beat returns the longest time between datagrams between this failure domain and another. With many distant peers it
// grows, so that the traffic between failure domains does not grow with the square of the instances.
func (g *Gossip) beat(domain poplarwinch.FailureDomain) clock.Millis {
	if domain == g.self.Domain {
		return heartbeat
	}
	return g.distantBeat()
}

// distantBeat returns the heartbeat interval between failure domains. The caller holds the lock.
func (g *Gossip) distantBeat() clock.Millis {
	return heartbeat * clock.Millis(max(1, g.distant/fewDistant))
}

// countDistant counts the peers in other failure domains. The caller holds the lock.
func (g *Gossip) countDistant() {
	g.distant = 0
	for _, p := range g.peers {
		if p.Domain != g.self.Domain {
			g.distant++
		}
	}
}

// Changed schedules datagrams after own work or a table changed.
func (g *Gossip) Changed(reach fleet.Reach) {
	g.mutex.Lock()
	now := g.clock.Now()
	earlier := false
	set := func(due *clock.Millis, delay clock.Millis) {
		if *due == 0 || now+delay < *due {
			*due = now + delay
			earlier = true
		}
	}
	set(&g.nearDue, nearDelay)
	few := g.distant <= fewDistant
	switch {
	case reach == fleet.ReachAll, few && (reach == fleet.ReachDistant || reach == fleet.ReachCrowded):
		set(&g.farDue, nearDelay)
	case few:
		set(&g.farDue, farDelay)
	case reach == fleet.ReachDistant:
		set(&g.workDue, nearDelay)
	}
	g.mutex.Unlock()
	if !earlier {
		return
	}
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run sends and receives datagrams on the connection until ctx ends.
func (g *Gossip) Run(ctx context.Context, connection *net.UDPConn) {
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	received := make(chan struct{})
	go g.runReceive(ctx, connection, received)
	g.Changed(fleet.ReachAll)
	for ctx.Err() == nil {
		g.follow()
		g.sendDue(connection)
		due, cancel := g.clock.After(g.pause())
		select {
		case <-due:
		case <-g.wake:
		case <-ctx.Done():
		}
		cancel()
	}
	<-received
}

// Leave tells all peers that this instance has no more work.
func (g *Gossip) Leave(connection *net.UDPConn) {
	m := g.message()
	m.OwnWork, m.Leaving = true, true
	g.send(connection, m, func(*peerState) bool { return true })
}

func (g *Gossip) versions() map[string]replica.Version {
	versions := map[string]replica.Version{}
	for name, r := range g.replicas {
		if v, ok := r.ContentVersion(); ok {
			versions[name] = v
		}
	}
	return versions
}
