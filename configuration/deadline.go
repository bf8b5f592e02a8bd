package configuration

import (
	"context"

	"github.com/poplarwinch/poplarwinch/clock"
)

// deadline cancels a context after a timeout on the store's clock, which tests can replace by virtual time.
type deadline struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// withTimeout returns a context that is canceled after the timeout, and a function that cancels it and releases its timer.
func (s *Store) withTimeout(ctx context.Context, timeout clock.Millis) (context.Context, func()) {
	d := &deadline{}
	d.ctx, d.cancel = context.WithCancel(ctx)
	elapsed, stopTimer := s.clock.After(timeout)
	go d.cancelWhenElapsed(elapsed)
	return d.ctx, func() {
		stopTimer()
		d.cancel()
	}
}

func (d *deadline) cancelWhenElapsed(elapsed <-chan struct{}) {
	select {
	case <-elapsed:
		d.cancel()
	case <-d.ctx.Done():
	}
}
