package dispatch

import (
	"context"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

const (
	// probeTimeout is the timeout of a reachability probe.
	probeTimeout = 500 * time.Millisecond
	// probeInterval is the time between probes of an unreachable server.
	probeInterval clock.Millis = 700
)

// startProbe probes in the background whether a server accepts connections, and calls done with the result.
func (d *Dispatcher) startProbe(s fleet.Server, done func(alive bool)) {
	d.background.Go(func() { d.runProbe(s, done) })
}

// runProbe probes the server, marks it unreachable if the probe fails, and calls done with the result. Servers of an evacuated failure
// domain are not probed, and done is not called. While this instance may have missed an evacuation, the probe waits.
func (d *Dispatcher) runProbe(s fleet.Server, done func(alive bool)) {
	for hold := d.hold(); hold > 0; hold = d.hold() {
		_ = d.clock.Sleep(context.Background(), hold)
	}
	if !d.mayProbe(s) {
		return
	}
	alive := d.probe(context.Background(), s)
	if !alive {
		d.markUnreachable(s)
	}
	done(alive)
}

// probe reports whether the server accepts a connection before ctx ends.
func (d *Dispatcher) probe(ctx context.Context, s fleet.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	started := d.clock.Now()
	alive := d.reachable(ctx, s)
	if alive {
		d.fleet.Alive(s, started)
	}
	return alive
}

// markUnreachable excludes a server that accepts no connections until it accepts them again. It also probes the other
// servers of the failure domain: they may be cut off too, and probes find that out before requests are sent to them.
func (d *Dispatcher) markUnreachable(s fleet.Server) {
	if !d.fleet.Unreachable(s) {
		return
	}
	d.log.WithField("upstream", s.ID).WithField("failure-domain", s.Domain).Warn("dependency lost: server accepts no connections")
	go d.runRecoveryProbes(s)
	for _, n := range d.fleet.Neighbours(s) {
		d.startProbe(n, func(bool) {})
	}
}

// runRecoveryProbes probes an unreachable server until it accepts connections or is removed from the server list. It pauses while the
// server's failure domain is evacuated.
func (d *Dispatcher) runRecoveryProbes(s fleet.Server) {
	for d.clock.Sleep(context.Background(), probeInterval) == nil && d.fleet.IsListed(s) {
		if !d.mayProbe(s) {
			continue
		}
		if d.probe(context.Background(), s) {
			d.fleet.Reachable(s)
			d.outages.regained(&s)
			d.log.WithField("upstream", s.ID).Info("dependency regained: server accepts connections")
			return
		}
	}
}
