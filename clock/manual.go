package clock

import "sync"

// Manual is a time source for tests; only Advance changes its time.
type Manual struct {
	mutex  sync.Mutex
	now    Millis
	timers map[*manualTimer]struct{}
}

type manualTimer struct {
	due  Millis
	done chan struct{}
}

// NewManual returns a manual time source that starts at now.
func NewManual(now Millis) *Manual {
	return &Manual{now: now, timers: map[*manualTimer]struct{}{}}
}

// Clock returns a clock with the time and timers of m.
func (m *Manual) Clock() *Clock {
	return &Clock{now: m.Now, after: m.after}
}

// Now returns the current time of m.
func (m *Manual) Now() Millis {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.now
}

// Advance adds span to the time and fires the timers that are due.
func (m *Manual) Advance(span Millis) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.now += span
	for t := range m.timers {
		if t.due <= m.now {
			close(t.done)
			delete(m.timers, t)
		}
	}
}

func (m *Manual) after(span Millis) (<-chan struct{}, func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	timer := &manualTimer{due: m.now + span, done: make(chan struct{})}
	if span <= 0 {
		close(timer.done)
		return timer.done, func() {}
	}
	m.timers[timer] = struct{}{}
	return timer.done, func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		delete(m.timers, timer)
	}
}
