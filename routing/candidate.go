package routing

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Candidate is an upstream that was considered for a decision, with the figures behind its prediction.
type Candidate struct {
	Upstream *upstream.Upstream
	// Predicted is the predicted time to first token.
	Predicted clock.Millis
	// Waiting is the prefill work of equal or higher priority on the engine: reported, from this instance, and announced
	// by peers.
	Waiting poplarwinch.Tokens
	// LowerWaiting is the prefill work of lower priority.
	LowerWaiting poplarwinch.Tokens
	// Cached is the part of the prompt that is assumed to be in the engine's prefix cache.
	Cached poplarwinch.Tokens
	// Running is the number of requests in flight: the reported one, or this instance's if that is larger.
	Running int64
	// LongPrefills is the number of long prompts in prefill that this instance and its peers know of.
	LongPrefills int64
	// Reserved is the memory that is reserved on the engine for the prompt.
	Reserved poplarwinch.Tokens
}

// Work returns the load of the prompt on the candidate, for upstream.Upstream.Begin.
func (c *Candidate) Work(p *Prompt) upstream.Work {
	return upstream.Work{Prefill: p.Tokens - c.Cached, Priority: p.Class.Priority()}
}
