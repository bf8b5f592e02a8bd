package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
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
	// localDelay is the time for which changes are batched before they are sent to peers of the same cell, and to distant peers
	// that need them at once.
	localDelay clock.Millis = 2
	// remoteDelay is the same for distant peers if a change concerns only servers of this cell, none of them nearly full.
	remoteDelay clock.Millis = 150
	// heartbeatInterval is the maximum time between two datagrams to a peer of the same cell, and between two instances that
	// follow the tables.
	heartbeatInterval clock.Millis = 1000
	// maxMissedHeartbeats is the number of missed heartbeats after which a peer counts as dead.
	maxMissedHeartbeats = 3
	// sharerRetention is the time for which a silent peer counts as one that uses its share of a limit.
	sharerRetention = 30 * clock.Second
	// smallDeploymentDistantPeers is the number of peers in other cells up to which these are sent all changes and every
	// heartbeat.
	smallDeploymentDistantPeers = 16
	// distantHeartbeatsPerSecond is the number of heartbeats that an instance of a large deployment sends to other cells. They only
	// show who lives; load on their servers is sent when it changes.
	distantHeartbeatsPerSecond = 4
	// maxDatagramBytes is the maximum size of a received datagram, in bytes.
	maxDatagramBytes = 60000
	// affectedInterval is the maximum time between two reports to the peers of cells whose servers have load of this instance. It is
	// shorter than the time after which they ignore a report.
	affectedInterval clock.Millis = 2000
	// summaryInterval is the time between two summaries from an instance that follows the tables.
	summaryInterval clock.Millis = 200
	// suspectInterval is the time between datagrams with suspects, if there are too many for one.
	suspectInterval clock.Millis = 25
	// forwardedSuspectInterval is the same for suspects that an instance forwards between cells.
	forwardedSuspectInterval clock.Millis = 60
	// fetchDelay is the time for which a replica may be behind a peer's before it is fetched from the peer.
	fetchDelay clock.Millis = 300
)

// Gossip exchanges datagrams with all known peers. It is safe for concurrent use.
type Gossip struct {
	self     Member
	fleet    *fleet.Fleet
	suspects *quarantine.Register
	// replicas are the table replicas that are kept in sync with peers, by table name.
	replicas map[string]*replica.Replica
	clock    *clock.Clock
	log      log.Interface
	codec    codec.CBOR
	// boot distinguishes successive processes of this instance; a later one has a larger value.
	boot int64
	// startedAt is the time at which New was called.
	startedAt clock.Millis

	mutex sync.Mutex
	peers map[poplarwinch.InstanceID]*peerState
	// unidentified has the addresses from which no datagram was received yet, so that their instances are not known.
	unidentified map[netip.AddrPort]bool
	// distantPeers is the number of peers in other cells.
	distantPeers int
	cell         fleet.Cell
	// cellUpdatedAt is the time at which cell was last determined; zero if it was not.
	cellUpdatedAt clock.Millis
	sequence      uint64
	due           dueTimes
	// helloAt is the time of the last datagrams to the peers of the same cell that are not alive.
	helloAt clock.Millis
	// followingSince is the time since which this instance sends summaries; zero while it does not.
	followingSince clock.Millis
	// announcedAt is the time of the last announcement of tables.
	announcedAt clock.Millis
	// announced has the positions that were announced last, by table name.
	announced map[string]replica.Position
	// affected has the servers that had load of this instance when distant peers were last sent its report.
	affected []fleet.Place
	// wake ends the wait of Run after a datagram became due earlier.
	wake chan struct{}
	// behind has what peers are known to have of a table beyond this instance's replica, by table name.
	behind map[string]lag
	// compared has the eras for which a table was compared with that of a peer which knows later states than the source, by table name.
	compared map[string]replica.Era
	// settledAt has the time of the latest fetch of a table to settle what is known of it, by table name.
	settledAt map[string]clock.Millis
	fetches   fetchTracker
	// followersDueAt is the time at which the followers of the cell are to be chosen again at the latest; zero if there is none.
	followersDueAt clock.Millis
	// bytesSent is the size of all datagrams sent so far.
	bytesSent atomic.Int64
	// bootstrapFailed is set if a peer failed to send a whole table.
	bootstrapFailed atomic.Bool
}

// New returns a Gossip for the instance self; WithFleet and WithSuspects are required.
func New(self Member, opts ...Option) (*Gossip, error) {
	c, err := codec.NewCBOR()
	if err != nil {
		return nil, err
	}
	g := &Gossip{
		self: self, clock: clock.Monotonic(), log: log.Log, codec: c, boot: time.Now().UnixNano(),
		peers: map[poplarwinch.InstanceID]*peerState{}, unidentified: map[netip.AddrPort]bool{},
		behind: map[string]lag{}, wake: make(chan struct{}, 1), announced: map[string]replica.Position{}, compared: map[string]replica.Era{}, settledAt: map[string]clock.Millis{},
		cell: fleet.Cell{Count: 1},
	}
	for _, opt := range opts {
		opt(g)
	}
	g.startedAt = g.clock.Now()
	return g, nil
}

// Self returns this instance as a member.
func (g *Gossip) Self() Member { return g.self }

// Add adds peers that are known from other sources than datagrams. Those without an id are seeds, known by address only.
func (g *Gossip) Add(members []Member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, m := range members {
		if m.ID == g.self.ID || m.Address == g.self.Address {
			continue
		}
		if m.ID == "" {
			g.unidentified[m.Address] = true
			continue
		}
		if p := g.peers[m.ID]; p == nil || p.heardAt == 0 {
			g.peers[m.ID] = &peerState{Member: m, addedAt: g.clock.Now()}
		}
	}
	g.countDistantPeers()
}

// BytesSent returns the size of all datagrams sent so far, in bytes.
func (g *Gossip) BytesSent() int64 { return g.bytesSent.Load() }

// Alive returns the number of live instances, including this one.
func (g *Gossip) Alive() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := 1
	for _, p := range g.peers {
		if g.alive(p) {
			count++
		}
	}
	return count
}

// Sharers returns the number of instances among which a shared limit is divided, including this one. Peers that are not heard any more
// count for sharerRetention: they may be cut off and use their shares. So do peers that are known from the store and were not heard
// yet, and for as long after the start seeds that were not heard.
func (g *Gossip) Sharers() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	count := 1
	if now-g.startedAt < sharerRetention {
		count += len(g.unidentified)
	}
	for _, p := range g.peers {
		if g.alive(p) || !p.left && now-max(p.heardAt, p.addedAt) < sharerRetention {
			count++
		}
	}
	return count
}

// alive reports whether the peer is alive. The caller holds the lock.
func (g *Gossip) alive(peer *peerState) bool {
	return peer.heardAt != 0 && g.clock.Now()-peer.heardAt < maxMissedHeartbeats*g.heartbeatIntervalOf(peer)
}

// heartbeatIntervalOf returns the maximum time between datagrams exchanged with a peer. Between cells it grows with the number of
// distant peers, so that the traffic of an instance does not grow with the deployment. The caller holds the lock.
func (g *Gossip) heartbeatIntervalOf(peer *peerState) clock.Millis {
	if g.isNear(peer) {
		return heartbeatInterval
	}
	return g.distantHeartbeatInterval()
}

// distantHeartbeatInterval returns the heartbeat interval between cells, such that an instance sends distantHeartbeatsPerSecond in
// a large deployment. The caller holds the lock.
func (g *Gossip) distantHeartbeatInterval() clock.Millis {
	if g.isSmall() {
		return heartbeatInterval
	}
	return clock.Second * clock.Millis(g.distantPeers) / distantHeartbeatsPerSecond
}

// isSmall reports whether all changes are sent to all peers. The caller holds the lock.
func (g *Gossip) isSmall() bool { return g.distantPeers <= smallDeploymentDistantPeers }

// countDistantPeers counts the peers in other cells. The caller holds the lock.
func (g *Gossip) countDistantPeers() {
	g.distantPeers = 0
	for _, p := range g.peers {
		if !g.isNear(p) {
			g.distantPeers++
		}
	}
}

// ScheduleUpdate schedules datagrams after a change of this instance's load or of a table, to the peers that reach specifies.
func (g *Gossip) ScheduleUpdate(reach fleet.Reach) {
	g.mutex.Lock()
	now := g.clock.Now()
	earlier := false
	set := func(due *clock.Millis, delay clock.Millis) {
		if *due == 0 || now+delay < *due {
			*due = now + delay
			earlier = true
		}
	}
	set(&g.due.local, localDelay)
	few := g.isSmall()
	switch {
	case reach == fleet.ReachAll, few && (reach == fleet.ReachDistant || reach == fleet.ReachBusy):
		set(&g.due.remote, localDelay)
	case few:
		set(&g.due.remote, remoteDelay)
	case reach == fleet.ReachDistant:
		set(&g.due.affected, localDelay)
	}
	g.mutex.Unlock()
	if earlier {
		g.wakeUp()
	}
}

// wakeUp ends the wait of Run.
func (g *Gossip) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run sends and receives datagrams on the connection until ctx ends. It closes the connection.
func (g *Gossip) Run(ctx context.Context, connection *net.UDPConn) {
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	received := make(chan struct{})
	go g.runReceive(ctx, connection, received)
	g.ScheduleUpdate(fleet.ReachAll)
	for ctx.Err() == nil {
		g.updateCell()
		g.updateFollowing()
		g.sendDue(connection)
		due, cancel := g.clock.After(g.untilNextStep())
		select {
		case <-due:
		case <-g.wake:
		case <-ctx.Done():
		}
		cancel()
	}
	<-received
}

// Leave notifies all peers that this instance is stopping and puts no more load on servers.
func (g *Gossip) Leave(connection *net.UDPConn) {
	m := g.message()
	m.OwnWork, m.Leaving = true, true
	g.send(connection, m, func(*peerState) bool { return true })
}

// positions returns the content positions of the loaded tables. While an announcement is due, they are those of the last one, so that
// peers wait for the changes that it has instead of fetching them.
func (g *Gossip) positions() map[string]replica.Position {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	positions := map[string]replica.Position{}
	for name, r := range g.replicas {
		position, loaded := r.ContentPosition()
		if announced := g.announced[name]; g.due.tables != 0 && announced.Version != 0 && announced.Compare(position) < 0 {
			position = announced
		}
		if loaded {
			positions[name] = position
		}
	}
	return positions
}

// generations returns the generations of the tables of which this instance has rows that their restored source lacks.
func (g *Gossip) generations() map[string]int64 {
	var generations map[string]int64
	for name, r := range g.replicas {
		generation, carriedOver := r.Generation()
		if !carriedOver {
			continue
		}
		if generations == nil {
			generations = map[string]int64{}
		}
		generations[name] = generation
	}
	return generations
}
