package admission

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/routing"
)

// Request is a prompt that asks for admission.
type Request struct {
	Prompt *routing.Prompt
	// Deadline is the time at which the request's time limit ends.
	Deadline clock.Millis
	// Weight is the customer's share under saturation; values below 1 count as 1.
	Weight int
	// MaxRequests and MaxTokens limit what the customer has in flight at this instance; zero means no limit.
	MaxRequests int
	MaxTokens   poplarwinch.Tokens
}

// cost returns the tokens that the request may use.
func (r *Request) cost() int64 { return int64(r.Prompt.Tokens + r.Prompt.MaxNew) }
