package membership

import "github.com/poplarwinch/poplarwinch"

// Candidate is the address of a possible member. FailureDomain is empty for a seed whose domain is not yet known.
type Candidate struct {
	Address       string
	FailureDomain poplarwinch.FailureDomain
}
