package replica

import (
	"context"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// minRetryDelay is the delay after the first failed read; it doubles with each further one.
	minRetryDelay clock.Millis = 100
	// maxRetryDelay bounds the delay after a failed read.
	maxRetryDelay clock.Millis = 400
	// maxLossDelay bounds the delay after the history was lost again. The whole table is read then, so that no change is missed.
	maxLossDelay clock.Millis = 1000
)

// backoff is the delay before a read is repeated.
type backoff struct {
	// limit bounds the delay.
	limit clock.Millis
	// last is the latest delay; zero if there was none since reset.
	last clock.Millis
	// begun is set by the first call of waitUnlessFirst since reset.
	begun bool
}

// wait waits for the next delay, or until ctx ends.
func (b *backoff) wait(ctx context.Context, c *clock.Clock) {
	b.last = min(max(2*b.last, minRetryDelay), b.limit)
	_ = c.Sleep(ctx, b.last) // the caller looks at ctx
}

// waitUnlessFirst is like wait, but returns at once the first time since reset.
func (b *backoff) waitUnlessFirst(ctx context.Context, c *clock.Clock) {
	if b.begun {
		b.wait(ctx, c)
	}
	b.begun = true
}

func (b *backoff) reset() { b.last, b.begun = 0, false }
