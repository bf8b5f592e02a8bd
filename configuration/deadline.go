package configuration

import (
	"context"

	"github.com/poplarwinch/poplarwinch/clock"
)

// deadline ends a context after a span on the store's clock, so that tests can run it in virtual time.
type deadline struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// within returns a context that ends after the span, and a function that releases it.
func (s *Store) within(ctx context.Context, span clock.Millis) (context.Context, func()) {
	d := &deadline{}
	d.ctx, d.cancel = context.WithCancel(ctx)
	due, stop := s.clock.After(span)
	go d.run(due)
	return d.ctx, func() {
		stop()
		d.cancel()
	}
}

func (d *deadline) run(due <-chan struct{}) {
	select {
	case <-due:
		d.cancel()
	case <-d.ctx.Done():
	}
}
