package routing

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Baseline is a common load balancing policy, for comparison with Router.
type Baseline struct {
	// Random is the source of random numbers.
	Random func() uint64
	// Domain is the own failure domain. Only its engines are used, as long as the snapshot has any there.
	Domain poplarwinch.FailureDomain

	choose   func(b *Baseline, engines []*upstream.Upstream) *upstream.Upstream
	sequence atomic.Uint64
}

// RoundRobin returns a policy that selects the engines in turn.
func RoundRobin() *Baseline {
	return &Baseline{choose: func(b *Baseline, engines []*upstream.Upstream) *upstream.Upstream {
		return engines[(b.sequence.Add(1)-1)%uint64(len(engines))]
	}}
}

// FewestRequests returns a policy that selects the engine with the fewest requests, reported or from this instance.
func FewestRequests() *Baseline { return fewest(requestCount) }

// FewestTokens returns a policy that selects the engine with the fewest waiting prefill tokens, reported and pending.
func FewestTokens() *Baseline {
	return fewest(func(u *upstream.Upstream) int64 {
		sum := u.Load().WaitingPrefillTokens
		for _, pending := range u.Prefill().Pending {
			sum += pending
		}
		return int64(sum)
	})
}

// PowerOfTwoChoices returns a policy that selects the one with fewer requests of two random engines.
func PowerOfTwoChoices() *Baseline {
	return &Baseline{Random: rand.Uint64, choose: func(b *Baseline, engines []*upstream.Upstream) *upstream.Upstream {
		x, y := engines[b.Random()%uint64(len(engines))], engines[b.Random()%uint64(len(engines))]
		if requestCount(y) < requestCount(x) {
			return y
		}
		return x
	}}
}

// Engine selects an engine for the prompt.
func (b *Baseline) Engine(s *upstream.Snapshot, p *Prompt) (Decision, error) {
	var engines []*upstream.Upstream
	all := s.Engines(p.Model, p.Adapter).LocalOrAll(b.Domain)
	for _, u := range all {
		if eligible(u, p.Avoid) {
			engines = append(engines, u)
		}
	}
	if len(engines) == 0 {
		return Decision{}, noEngine(p, len(all))
	}
	return Decision{Upstream: b.choose(b, engines), Reason: ReasonBaseline}, nil
}

// fewest returns a policy that selects the engine with the smallest measure. The search starts at a random engine, so
// that ties are spread.
func fewest(measure func(*upstream.Upstream) int64) *Baseline {
	return &Baseline{Random: rand.Uint64, choose: func(b *Baseline, engines []*upstream.Upstream) *upstream.Upstream {
		start := int(b.Random() % uint64(len(engines)))
		best := engines[start]
		for i := range engines {
			if u := engines[(start+i)%len(engines)]; measure(u) < measure(best) {
				best = u
			}
		}
		return best
	}}
}

func requestCount(u *upstream.Upstream) int64 {
	return max(u.Load().RunningRequests+u.Load().WaitingRequests, u.Running())
}

var (
	_ Policy = (*Router)(nil)
	_ Policy = (*Baseline)(nil)
)
