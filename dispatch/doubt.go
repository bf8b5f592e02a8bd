package dispatch

import (
	"context"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

const (
	// checkTimeout bounds the check whether a server accepts connections.
	checkTimeout = 500 * time.Millisecond
	// checkPause is the time between two checks of a server that is down.
	checkPause clock.Millis = 700
)

// doubt checks in the background whether a server accepts connections, and ended is called with the result.
func (d *Dispatcher) doubt(s fleet.Server, ended func(alive bool)) {
	d.background.Go(func() { d.runCheck(s, ended) })
}

func (d *Dispatcher) runCheck(s fleet.Server, ended func(alive bool)) {
	alive := d.check(s)
	if !alive {
		d.lost(s)
	}
	ended(alive)
}

func (d *Dispatcher) check(s fleet.Server) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	return d.reachable(ctx, s)
}

// lost takes a server that accepts no connections out of use until it accepts them again. The other servers of its failure
// domain are checked, since they may be cut off with it; that spares requests the attempt.
func (d *Dispatcher) lost(s fleet.Server) {
	if !d.fleet.Unreachable(s.ID) {
		return
	}
	d.log.WithField("upstream", s.ID).WithField("failure-domain", s.Domain).Warn("dependency lost: server accepts no connections")
	go d.runReturn(s)
	for _, n := range d.fleet.Neighbours(s) {
		d.doubt(n, func(bool) {})
	}
}

// runReturn checks a lost server until it accepts connections or leaves the list.
func (d *Dispatcher) runReturn(s fleet.Server) {
	for d.clock.Sleep(context.Background(), checkPause) == nil && d.fleet.Known(s) {
		if d.check(s) {
			d.fleet.Reachable(s.ID)
			d.log.WithField("upstream", s.ID).Info("dependency regained: server accepts connections")
			return
		}
	}
}
