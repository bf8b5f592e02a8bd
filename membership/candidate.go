package membership

import "github.com/poplarwinch/poplarwinch"

// Candidate is an address at which an instance may answer. The failure domain of a seed may be unknown (empty).
type Candidate struct {
	Address       string
	FailureDomain poplarwinch.FailureDomain
}
