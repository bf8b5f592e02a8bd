package routing

import "github.com/poplarwinch/poplarwinch/upstream"

// Policy selects an engine for a prompt. Router implements it, and so do the baselines that it is compared with.
type Policy interface {
	Engine(s *upstream.Snapshot, p *Prompt) (Decision, error)
}
