package upstream

import (
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/window"
)

// prefillWork counts this instance's prompts of one priority in prefill on one upstream.
type prefillWork struct {
	prompts atomic.Int64
	tokens  atomic.Int64
	// pending is the part of tokens that was sent after the last load report held; sent holds it by time.
	pending atomic.Int64
	sent    *window.Counter
}

// begin adds a prompt and returns the epoch under which sent holds it.
func (w *prefillWork) begin(now clock.Millis, tokens int64) int64 {
	w.prompts.Add(1)
	w.tokens.Add(tokens)
	w.pending.Add(tokens)
	epoch, expired := w.sent.Add(now, tokens)
	w.pending.Add(-expired)
	return epoch
}
