package admission

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/routing"
)

// Request is a prompt that asks for admission.
type Request struct {
	Prompt *routing.Prompt
	// Deadline is the end of the request's time limit. A request whose first token is predicted after it is rejected.
	Deadline clock.Millis
	// Weight is the customer's weight in the fair queue; values below 1 count as 1.
	Weight int
	// MaxRequests limits the customer's requests in flight at this instance; zero means no limit.
	MaxRequests int
	// MaxTokens limits the customer's tokens in flight at this instance; zero means no limit.
	MaxTokens poplarwinch.Tokens
}

// cost returns the largest number of tokens that the request may use: prompt and generated tokens.
func (r *Request) cost() int64 { return int64(r.Prompt.Tokens + r.Prompt.MaxNewTokens) }
