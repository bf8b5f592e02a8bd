package upstream

import "github.com/poplarwinch/poplarwinch"

// Priorities is the number of engine priorities: short, medium and long prompts.
const Priorities = 3

// Prefill counts the prompts in prefill on one upstream that one or more instances have sent, by engine priority.
type Prefill struct {
	// Pending counts the tokens that were sent after the time of the last load report.
	Pending [Priorities]poplarwinch.Tokens
	// Tokens counts all tokens of the prompts, including those already processed.
	Tokens  [Priorities]poplarwinch.Tokens
	Prompts [Priorities]int64
}

// add adds the counts of other. It adds the pending tokens only if pending is set, that is, if no load report includes
// them yet.
func (p *Prefill) add(other *Prefill, pending bool) {
	for i := range Priorities {
		p.Tokens[i] += other.Tokens[i]
		p.Prompts[i] += other.Prompts[i]
		if pending {
			p.Pending[i] += other.Pending[i]
		}
	}
}
