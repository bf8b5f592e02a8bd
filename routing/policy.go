package routing

import "github.com/poplarwinch/poplarwinch/upstream"

// Policy selects an engine for a prompt. Router and the baselines that it is compared with implement it.
type Policy interface {
	Engine(s *upstream.Snapshot, p *Prompt) (Decision, error)
}
