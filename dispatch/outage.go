package dispatch

import (
	"context"
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

const (
	// proofDelay is the time after a server was found unreachable from which signs of life of its neighbours count, and the time from these
	// to the probe that shows whether it is still unreachable. Servers of a failure domain that is cut off, or returns, don't do so at
	// quite the same moment.
	proofDelay clock.Millis = 100
	// minOutageInterval is the time between two looks at a server whose state is not known yet. It grows with the age of the outage, by
	// outageAgePerInterval, up to maxOutageInterval; changes of the list and of neighbours make a look due at once.
	minOutageInterval    clock.Millis = 500
	maxOutageInterval                 = 5 * clock.Second
	outageAgePerInterval              = 8
	// listDelay is the time by which the server list shows a start of a server that accepts connections.
	listDelay = clock.Second
	// outagePeriod is the time after which an outage is given up: crashes that are older count no longer.
	outagePeriod = 10 * clock.Minute
	// sampledNeighbours is the number of neighbours that are probed in one look.
	sampledNeighbours = 4
)

// evidence is what has shown whether a server that broke off attempts has crashed.
type evidence string

const (
	// evidenceNone means that nothing has shown it yet.
	evidenceNone evidence = ""
	// evidenceReplaced means that the server was started again, or that another one has its address: it has crashed.
	evidenceReplaced evidence = "replaced"
	// evidenceNeighbour means that another server of the failure domain is alive, and this one is not: it has crashed.
	evidenceNeighbour evidence = "neighbour-alive"
	// evidenceReturned means that the same process accepts connections: it was cut off at most.
	evidenceReturned evidence = "returned"
	// evidenceExpired means that nothing has shown it within outagePeriod, or that this instance is shutting down.
	evidenceExpired evidence = "expired"
)

// outage is one start of a server that broke off attempts, until it is known whether it has crashed or was cut off. While no other server of
// its failure domain is reachable either, both look the same; a new start of the server tells them apart, or its return without one.
type outage struct {
	d      *Dispatcher
	server fleet.Server
	// attempts are the ones that broke off; d.outages guards them.
	attempts []*brokenAttempt
	// changed has an element when an attempt was added, or the list has changed, since the last look.
	changed chan struct{}
	// decided is closed when the outage is decided.
	decided  chan struct{}
	openedAt clock.Millis
	// deadAt is the time at which the server was first found unreachable since it was last known to be alive; zero if it never was.
	deadAt clock.Millis
	// wasDead says that it was found unreachable at some time.
	wasDead atomic.Bool
	// aliveAt is the latest time at which it is known to have been alive.
	aliveAt clock.Millis
}

// run looks at the server until it is known whether it has crashed.
func (o *outage) run() {
	for {
		found := o.look()
		if found == evidenceNone {
			found = o.wait()
		}
		if found != evidenceNone && o.d.outages.decide(o, found) {
			return
		}
	}
}

// wake makes the next look due.
func (o *outage) wake() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// wait waits until the next look is due. It returns evidenceExpired if there is to be none.
func (o *outage) wait() evidence {
	due, stop := o.d.clock.After(o.untilNextLook())
	defer stop()
	select {
	case <-o.changed:
	case <-due:
	case <-o.decided:
		return evidenceExpired
	case <-o.d.ending.Done():
		return evidenceExpired
	}
	if o.d.clock.Now()-o.openedAt >= outagePeriod {
		return evidenceExpired
	}
	return evidenceNone
}

// untilNextLook returns the time until neighbours of a server that has just become unreachable can show that it crashed, and otherwise the
// interval for the age of the outage.
func (o *outage) untilNextLook() clock.Millis {
	now := o.d.clock.Now()
	if left := o.deadAt + proofDelay - now; o.isDead() && left > 0 {
		return left
	}
	return min(max(minOutageInterval, (now-o.openedAt)/outageAgePerInterval), maxOutageInterval)
}

// isDead reports whether the server has been unreachable since it was last known to be alive.
func (o *outage) isDead() bool { return o.deadAt > o.aliveAt }

// look returns what shows now whether the server has crashed.
func (o *outage) look() evidence {
	d := o.d
	if d.fleet.Listing(o.server) == fleet.ListingReplaced {
		return evidenceReplaced
	}
	if o.isProbeDue() {
		o.probe()
	}
	o.aliveAt = max(o.aliveAt, d.fleet.AliveAt(o.server)-proofDelay) // answers may have been on their way
	switch {
	case d.outages.haveReturned(o):
		return evidenceReturned
	case o.isDead() && o.isNeighbourProof():
		return evidenceNeighbour
	}
	return evidenceNone
}

// isProbeDue reports whether an attempt broke off since the server was known to be alive, and no other probes of it go on.
func (o *outage) isProbeDue() bool {
	return o.d.outages.needsProbe(o) && (!o.isDead() || o.d.fleet.IsListed(o.server) && !o.d.fleet.IsUnreachable(o.server))
}

// probe probes the server and reports whether it accepts connections. Servers of an evacuated failure domain are not probed.
func (o *outage) probe() (alive bool) {
	d := o.d
	if !d.mayProbe(o.server) {
		return false
	}
	started := d.clock.Now()
	if d.probe(context.Background(), o.server) {
		o.aliveAt = max(o.aliveAt, started)
		return true
	}
	if !o.isDead() {
		o.deadAt = started
		o.wasDead.Store(true)
	}
	d.markUnreachable(o.server)
	return false
}

// isNeighbourProof reports whether a living neighbour shows that the server has crashed: the failure domain was not lost, or it is back and
// the server is not.
func (o *outage) isNeighbourProof() bool {
	d, since := o.d, o.deadAt+proofDelay
	if d.clock.Now() < since || !d.mayProbe(o.server) || !o.isNeighbourAlive(since) {
		return false
	}
	_ = d.clock.Sleep(context.Background(), proofDelay)
	return d.mayProbe(o.server) && !o.probe()
}

// isNeighbourAlive reports whether a neighbour is known to have been alive at a time or later. If none is, it probes some of those whose
// state isn't known.
func (o *outage) isNeighbourAlive(since clock.Millis) bool {
	d := o.d
	if d.fleet.IsNeighbourAlive(o.server, since) {
		return true
	}
	neighbours := d.fleet.Neighbours(o.server)
	results := make(chan bool, sampledNeighbours)
	sampled := neighbours[:min(len(neighbours), sampledNeighbours)]
	for _, n := range sampled {
		d.background.Go(func() { d.runProbe(n, func(bool) {}); results <- true })
	}
	for range sampled {
		<-results
	}
	return d.fleet.IsNeighbourAlive(o.server, since)
}
