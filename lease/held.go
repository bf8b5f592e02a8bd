package lease

import "github.com/poplarwinch/poplarwinch/clock"

// held is the state of a lease that this instance holds. It is immutable once published.
type held struct {
	token uint64
	// attempt is the attempt id of the last write that is known to have taken effect.
	attempt    string
	validUntil instant
	// usableFrom is the time, by the monotonic clock, from which the holder may act.
	usableFrom clock.Millis
}

// pendingWrite is a write of the lease row by this instance, until its effect is known.
type pendingWrite struct {
	token uint64
	// start is the time before the write was sent; the lease duration counts from it.
	start instant
	// activationDelay is the time that a new holder waits before it acts; zero for a renewal.
	activationDelay clock.Millis
	// usableFrom is that of the lease that a renewal extends.
	usableFrom clock.Millis
}

// publish sets the state of the lease to that of w, a write that has taken effect.
func (l *Lease) publish(attempt string, w pendingWrite) {
	h := &held{token: w.token, attempt: attempt, validUntil: w.start.plus(leaseDuration), usableFrom: w.usableFrom}
	if w.activationDelay > 0 {
		h.usableFrom = l.monotonic() + w.activationDelay
		l.log.WithField("lease", l.key).WithField("fencing-number", w.token).Info("lease acquired")
	}
	l.highestToken = max(l.highestToken, w.token)
	l.observed = nil
	clear(l.outstanding)
	l.held.Store(h)
}
