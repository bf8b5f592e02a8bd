package upstream

import (
	"context"
	"errors"

	"github.com/poplarwinch/poplarwinch/clock"
)

var errProbeTimeout = errors.New("probe timed out")

// callWithTimeout calls f and returns after probeTimeout at the latest, even if f ignores its context.
func callWithTimeout[T any](ctx context.Context, c *clock.Clock, f func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 1)
	go func() {
		value, err := f(ctx)
		results <- result{value, err}
	}()
	timeout, stop := c.After(probeTimeout)
	defer stop()
	var zero T
	select {
	case r := <-results:
		return r.value, r.err
	case <-timeout:
		return zero, errProbeTimeout
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
