package entry

import (
	"context"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
)

const cancelTimeout = 2 * time.Second

// cancel asks the engine at address to end a stream after the delay. A delay leaves time for the caller to resume it.
func (c *canceller) cancel(address string, id engine.StreamID, delay clock.Millis) {
	ctx, stop := context.WithCancel(context.Background())
	c.mutex.Lock()
	c.pending[id] = stop
	c.mutex.Unlock()
	c.running.Go(func() { c.run(ctx, address, id, delay) })
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

func (c *canceller) run(ctx context.Context, address string, id engine.StreamID, delay clock.Millis) {
	if c.clock.Sleep(ctx, delay) != nil {
		return
	}
	c.mutex.Lock()
	delete(c.pending, id)
	c.mutex.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	if err := c.engines.Cancel(ctx, address, id); err != nil {
		c.log.WithError(err).WithField("stream", id).Info("stream not cancelled; the engine drops it at its deadline")
	}
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
