package upstream

import "github.com/poplarwinch/poplarwinch"

// Priorities is the number of engine priorities: short, medium and long prompts.
const Priorities = 3

// Prefill describes the prompts in prefill on one upstream that one or more instances know of, by engine priority.
type Prefill struct {
	// Pending counts the tokens that were sent after the last load report held.
	Pending [Priorities]poplarwinch.Tokens
	// Tokens counts all tokens of the prompts, including the part that is already processed.
	Tokens [Priorities]poplarwinch.Tokens
	// Prompts counts the prompts.
	Prompts [Priorities]int64
}

// add adds what other describes; pending tells whether its pending work is not part of a load report yet.
func (p *Prefill) add(other *Prefill, pending bool) {
	for i := range Priorities {
		p.Tokens[i] += other.Tokens[i]
		p.Prompts[i] += other.Prompts[i]
		if pending {
			p.Pending[i] += other.Pending[i]
		}
	}
}
