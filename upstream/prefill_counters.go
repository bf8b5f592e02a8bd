package upstream

import (
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/window"
)

// prefillCounters counts the prompts of one priority that this instance has in prefill on one upstream.
type prefillCounters struct {
	prompts atomic.Int64
	tokens  atomic.Int64
	// pending is the part of tokens that was sent after the time of the last load report; sent holds it by time sent.
	pending atomic.Int64
	sent    *window.Counter
}

// begin adds a prompt and returns the epoch of sent that holds its tokens.
func (c *prefillCounters) begin(now clock.Millis, tokens int64) int64 {
	c.prompts.Add(1)
	c.tokens.Add(tokens)
	c.pending.Add(tokens)
	epoch, expired := c.sent.Add(now, tokens)
	c.pending.Add(-expired)
	return epoch
}
