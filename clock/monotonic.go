package clock

import (
	"sync"
	"time"
)

// maxDrift is the difference between the advances of the wall clock and of the steady clock from which the machine may have been
// suspended in between.
const maxDrift Millis = 100

// Monotonic returns a clock that starts at the time of the wall clock, is not affected by later steps of it, and counts the time
// for which the machine was suspended: whatever was granted for a time has run out after that.
func Monotonic() *Clock {
	start := time.Now()
	c := System()
	c.now = newMonotonic(FromTime(start), func() (wall, steady Millis) {
		now := time.Now()
		return FromTime(now), FromDuration(now.Sub(start))
	}, suspended).now
	return c
}

// monotonic counts the advance of a steady clock that stops while the machine is suspended, plus the time of the suspensions.
type monotonic struct {
	base Millis
	// read returns the wall clock's time and the advance of the steady clock.
	read func() (wall, steady Millis)
	// suspended returns the total time for which the machine was suspended. It costs a system call, so it is called only when the wall
	// clock and the steady clock have drifted apart.
	suspended func() Millis
	// suspendedBefore is the result of suspended at the start.
	suspendedBefore Millis

	mutex sync.Mutex
	// drift is the advance of the wall clock beyond that of the steady clock when suspended was called last.
	drift Millis
	// offset is the time of the suspensions since the start.
	offset Millis
}

func newMonotonic(base Millis, read func() (wall, steady Millis), suspended func() Millis) *monotonic {
	return &monotonic{base: base, read: read, suspended: suspended, suspendedBefore: suspended()}
}

func (m *monotonic) now() Millis {
	wall, steady := m.read()
	drift := wall - m.base - steady
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if d := drift - m.drift; d > maxDrift || d < -maxDrift {
		m.drift = drift
		m.offset = m.suspended() - m.suspendedBefore
	}
	return m.base + steady + m.offset
}
