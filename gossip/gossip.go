package gossip

import (
	"context"
	"errors"
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
	nearDue  clock.Millis
	farDue   clock.Millis
	wake     chan struct{}
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
	case reach == fleet.ReachDistant, reach == fleet.ReachCrowded && few:
		set(&g.farDue, nearDelay)
	case few:
		set(&g.farDue, farDelay)
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
	g.Changed(fleet.ReachDistant)
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
	g.send(connection, func(*peerState) bool { return true }, true)
}

// pause returns the time until the next datagram is due.
func (g *Gossip) pause() clock.Millis {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	wait := heartbeat
	for _, due := range []clock.Millis{g.nearDue, g.farDue} {
		if due != 0 {
			wait = min(wait, max(due-now, 0))
		}
	}
	return wait
}

// sendDue sends the datagrams whose time has come.
func (g *Gossip) sendDue(connection *net.UDPConn) {
	g.mutex.Lock()
	now := g.clock.Now()
	near := g.nearDue != 0 && g.nearDue <= now
	far := g.farDue != 0 && g.farDue <= now
	if near {
		g.nearDue = now + heartbeat
	}
	if far {
		g.farDue = now + g.farBeat()
	}
	g.mutex.Unlock()
	if !near && !far {
		return
	}
	g.send(connection, func(p *peerState) bool {
		if p.Domain == g.self.Domain {
			return near
		}
		return far
	}, false)
}

// farBeat returns the time until the next datagram to distant peers. Those of instances that follow the tables tell the
// versions, so they come often. The caller holds the lock.
func (g *Gossip) farBeat() clock.Millis {
	if g.followsNow() {
		return heartbeat
	}
	return g.distantBeat()
}

// send writes the own state to the selected peers.
func (g *Gossip) send(connection *net.UDPConn, selected func(*peerState) bool, leaving bool) {
	m := &message{From: g.self.ID, Domain: g.self.Domain, Boot: g.boot, Versions: g.versions(), Leaving: leaving}
	for _, r := range g.replicas {
		m.Failing = m.Failing || r.Failing()
	}
	if !leaving {
		m.Servers = encodeWork(g.fleet.Report())
		m.Suspects = encodeSuspects(g.suspects.Suspects(), g.clock.Now())
	}
	if !leaving && g.summarizes() {
		m.Summary = encodeWork(g.fleet.Summary())
	}
	g.mutex.Lock()
	g.sequence++
	m.Sequence = g.sequence
	var targets []netip.AddrPort
	for _, p := range g.peers {
		if selected(p) {
			targets = append(targets, p.Address)
		}
	}
	for address := range g.unnamed {
		targets = append(targets, address)
	}
	g.mutex.Unlock()
	data, err := g.codec.Marshal(m)
	if err != nil {
		g.log.WithError(err).Error("datagram not encoded")
		return
	}
	for _, to := range targets {
		if _, err := connection.WriteToUDPAddrPort(data, to); err != nil && !errors.Is(err, net.ErrClosed) {
			g.log.WithField("peer", to.String()).WithError(err).Debug("datagram not sent")
		}
	}
}

// summarizes reports whether this instance tells distant ones of its whole failure domain. That is needed where these are too
// many to be told of each change.
func (g *Gossip) summarizes() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.distant > fewDistant && g.followsNow()
}

// followsNow reports whether this instance follows a table.
func (g *Gossip) followsNow() bool {
	for _, r := range g.replicas {
		if r.Following() {
			return true
		}
	}
	return false
}

func (g *Gossip) versions() map[string]replica.Version {
	versions := map[string]replica.Version{}
	for name, r := range g.replicas {
		if v, ok := r.Content(); ok {
			versions[name] = v
		}
	}
	return versions
}
