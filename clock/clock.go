package clock

import (
	"context"
	"time"
)

// Clock tells the time and waits.
type Clock struct {
	now   func() Millis
	after func(Millis) (<-chan struct{}, func())
}

// System returns a clock that follows the machine's wall clock.
func System() *Clock {
	return &Clock{
		now: func() Millis { return FromTime(time.Now()) },
		after: func(m Millis) (<-chan struct{}, func()) {
			done := make(chan struct{})
			t := time.AfterFunc(m.Duration(), func() { close(done) })
			return done, func() { t.Stop() }
		},
	}
}

// Now returns the current time.
func (c *Clock) Now() Millis { return c.now() }

// After returns a channel that is closed once m has passed, and a function that releases the timer.
func (c *Clock) After(m Millis) (<-chan struct{}, func()) { return c.after(m) }

// Sleep waits for m or until ctx ends, and returns ctx's error in the latter case.
func (c *Clock) Sleep(ctx context.Context, m Millis) error {
	if m <= 0 {
		return ctx.Err()
	}
	done, stop := c.after(m)
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ahead returns a clock that shows the time of c plus the current offset and waits like c.
func (c *Clock) Ahead(offset func() Millis) *Clock {
	return &Clock{now: func() Millis { return c.now() + offset() }, after: c.after}
}
