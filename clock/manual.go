package clock

import "sync"

// Manual is a clock source that moves only when it is told to.
type Manual struct {
	mutex  sync.Mutex
	now    Millis
	timers map[*manualTimer]struct{}
}

type manualTimer struct {
	due  Millis
	done chan struct{}
}

// NewManual returns a manual clock source that starts at now.
func NewManual(now Millis) *Manual {
	return &Manual{now: now, timers: map[*manualTimer]struct{}{}}
}

// Clock returns a Clock that is driven by m.
func (m *Manual) Clock() *Clock {
	return &Clock{now: m.Now, after: m.after}
}

// Now returns the current time of m.
func (m *Manual) Now() Millis {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.now
}

// Advance moves the clock forward by span and fires the timers that fall due.
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
	t := &manualTimer{due: m.now + span, done: make(chan struct{})}
	if span <= 0 {
		close(t.done)
		return t.done, func() {}
	}
	m.timers[t] = struct{}{}
	return t.done, func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		delete(m.timers, t)
	}
}
