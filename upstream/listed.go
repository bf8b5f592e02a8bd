package upstream

import "github.com/poplarwinch/poplarwinch"

// Listed is an upstream's entry in the instance list.
type Listed struct {
	ID   poplarwinch.UpstreamID
	Kind Kind
	// Pool is the engine pool or, for a server of a plain service, the service name.
	Pool          string
	Address       string
	FailureDomain poplarwinch.FailureDomain
	Ready         bool
	Terminating   bool
}
