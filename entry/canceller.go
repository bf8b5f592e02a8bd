package entry

import (
	"context"
	"errors"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
)

// cancelTimeout bounds the request that cancels a stream.
const cancelTimeout = 2 * time.Second

// cancel asks the engine at address to end a stream after the delay, and then calls onEnded. The delay leaves the
// caller time to resume the stream, in which case onEnded is not called.
func (c *canceller) cancel(address string, id engine.StreamID, delay clock.Millis, onEnded func()) {
	ctx, stop := context.WithCancel(context.Background())
	c.mutex.Lock()
	c.pending[id] = stop
	c.mutex.Unlock()
	c.running.Go(func() { c.run(ctx, address, id, delay, onEnded) })
}

// withdraw drops a delayed cancellation, because the caller has resumed the stream.
func (c *canceller) withdraw(id engine.StreamID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if stop, ok := c.pending[id]; ok {
		stop()
		delete(c.pending, id)
	}
}

func (c *canceller) run(ctx context.Context, address string, id engine.StreamID, delay clock.Millis, onEnded func()) {
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
	onEnded()
}

// shutdown drops the delayed cancellations and waits for those that have started.
func (c *canceller) shutdown() {
	c.mutex.Lock()
	for id, stop := range c.pending {
		stop()
		delete(c.pending, id)
	}
	c.mutex.Unlock()
	c.running.Wait()
}
