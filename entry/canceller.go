package entry

import (
	"context"
	"errors"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
)

const cancelTimeout = 2 * time.Second

// cancel asks the engine at address to end a stream after the delay, and then calls ended. A delay leaves time for the
// caller to resume the stream; ended is not called if it does so.
func (c *canceller) cancel(address string, id engine.StreamID, delay clock.Millis, ended func()) {
	ctx, stop := context.WithCancel(context.Background())
	c.mutex.Lock()
	c.pending[id] = stop
	c.mutex.Unlock()
	c.running.Go(func() { c.run(ctx, address, id, delay, ended) })
}

// keep withdraws a delayed cancellation, because the caller has resumed the stream.
func (c *canceller) keep(id engine.StreamID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if stop, ok := c.pending[id]; ok {
		stop()
		delete(c.pending, id)
	}
}

func (c *canceller) run(ctx context.Context, address string, id engine.StreamID, delay clock.Millis, ended func()) {
	if c.clock.Sleep(ctx, delay) != nil {
		return
	}
	c.mutex.Lock()
	delete(c.pending, id)
	c.mutex.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	cancel := c.engines.Cancel
	if delay > 0 {
		cancel = c.engines.CancelUnread
	}
	err := cancel(ctx, address, id)
	switch {
	case errors.Is(err, engine.ErrBeingRead):
		c.log.WithField("stream", id).Info("stream kept; its caller has resumed it through another instance")
		return
	case err != nil:
		c.log.WithError(err).WithField("stream", id).Info("stream not cancelled; the engine drops it at its deadline")
	}
	ended()
}

// flush withdraws the delayed cancellations and waits for those that are under way.
func (c *canceller) flush() {
	c.mutex.Lock()
	for id, stop := range c.pending {
		stop()
		delete(c.pending, id)
	}
	c.mutex.Unlock()
	c.running.Wait()
}
