package lease

import "github.com/poplarwinch/poplarwinch/clock"

// held is the state of a lease that this instance holds. It is never changed after it is published.
type held struct {
	token uint64
	// attempt is the id of the last write that is known to have taken effect.
	attempt string
	until   instant
	// usable is the time by the monotonic clock from which the holder may act.
	usable clock.Millis
}

// written is a write of this instance whose effect is not known yet.
type written struct {
	token uint64
	// start is the time before the write was sent, which the lease counts from.
	start instant
	// settle is the time that a new holder has to wait from now on; zero for a renewal.
	settle clock.Millis
	// usable is that of the lease that a renewal extends.
	usable clock.Millis
}

// publish makes w, which has taken effect, the state of the lease.
func (l *Lease) publish(attempt string, w written) {
	h := &held{token: w.token, attempt: attempt, until: w.start.plus(duration), usable: w.usable}
	if w.settle > 0 {
		h.usable = l.monotonic() + w.settle
		l.log.WithField("lease", l.key).WithField("fencing-number", w.token).Info("lease acquired")
	}
	l.highest = max(l.highest, w.token)
	l.observed = nil
	clear(l.outstanding)
	l.held.Store(h)
}
