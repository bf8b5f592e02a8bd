package clock

import (
	"context"
	"time"
)

// Clock provides the current time and timers.
type Clock struct {
	now   func() Millis
	after func(Millis) (<-chan struct{}, func())
}

// System returns a clock that follows the wall clock of the machine.
func System() *Clock {
	return &Clock{
		now: func() Millis { return FromTime(time.Now()) },
		after: func(span Millis) (<-chan struct{}, func()) {
			done := make(chan struct{})
			timer := time.AfterFunc(span.Duration(), func() { close(done) })
			return done, func() { timer.Stop() }
		},
	}
}

// Now returns the current time.
func (c *Clock) Now() Millis { return c.now() }

// After returns a channel that is closed once span has passed, and a function that stops the timer.
func (c *Clock) After(span Millis) (<-chan struct{}, func()) { return c.after(span) }

// Sleep waits until span has passed or ctx ends, and returns the error of ctx in the latter case.
func (c *Clock) Sleep(ctx context.Context, span Millis) error {
	if span <= 0 {
		return ctx.Err()
	}
	done, stop := c.after(span)
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WithOffset returns a clock whose time is that of c plus the result of offset; its timers are those of c.
func (c *Clock) WithOffset(offset func() Millis) *Clock {
	return &Clock{now: func() Millis { return c.now() + offset() }, after: c.after}
}
