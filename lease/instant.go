package lease

import "github.com/poplarwinch/poplarwinch/clock"

// instant is a point in time by the wall clock and the monotonic clock of this machine.
type instant struct{ wall, monotonic clock.Millis }

func (l *Lease) now() instant { return instant{wall: l.wall(), monotonic: l.monotonic()} }

func (i instant) plus(span clock.Millis) instant {
	return instant{wall: i.wall + span, monotonic: i.monotonic + span}
}

// expired reports whether either clock has reached end.
func (l *Lease) expired(end instant) bool {
	now := l.now()
	return now.wall >= end.wall || now.monotonic >= end.monotonic
}
