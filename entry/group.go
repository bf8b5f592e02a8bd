package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/routing"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// kvEstimatePercent scales the token estimate of a prompt, in percent, to allow for its error.
	kvEstimatePercent = 105
	// kvEstimateMargin is added to the scaled estimate, also to allow for its error.
	kvEstimateMargin poplarwinch.Tokens = 512
)

// requiredKVTokens returns the KV memory that the prompt and its answer may take, in tokens.
func (p *promptRun) requiredKVTokens() poplarwinch.Tokens {
	return p.prompt.Tokens*kvEstimatePercent/100 + p.prompt.MaxNewTokens + kvEstimateMargin
}

// needsGroup reports whether no single engine can hold the prompt.
func (p *promptRun) needsGroup() bool {
	if p.rejectedForMemory {
		return true
	}
	capacity := poplarwinch.Tokens(0)
	for _, u := range p.groupEngines() {
		capacity = max(capacity, u.Load().KVCapacityTokens)
	}
	if capacity == 0 {
		capacity = p.index.Manifest.Engines.MemoryTokens
	}
	return p.requiredKVTokens() > capacity
}

// groupEngines returns the engines that may form a group: those of the own failure domain, or those of all failure
// domains if the own one has none.
func (p *promptRun) groupEngines() []*upstream.Upstream {
	return p.server.router.Local(p.server.upstreams.Snapshot(), &p.prompt)
}

// decideGroup reserves a group of engines. The engine with the largest share runs the prompt.
func (p *promptRun) decideGroup(ctx context.Context) (routing.Decision, *reservation.Group, error) {
	engines := p.groupEngines()
	if len(engines) == 0 {
		_, err := p.server.router.Engine(p.server.upstreams.Snapshot(), &p.prompt)
		return routing.Decision{}, nil, err
	}
	group, err := p.server.groupBuilder.Build(ctx, reservation.Need{
		Request: p.id, Tokens: p.requiredKVTokens(), Deadline: clock.FromTime(p.deadline), Candidates: p.groupCandidates,
	})
	if err != nil {
		return routing.Decision{}, nil, err
	}
	d := routing.Decision{Reason: routing.ReasonGroup}
	for _, share := range group.Shares {
		if u, ok := p.server.upstreams.Snapshot().Lookup(share.Upstream); ok {
			d.Candidates = append(d.Candidates, routing.Candidate{Upstream: u, Reserved: share.Tokens})
		}
	}
	if len(d.Candidates) < len(group.Shares) {
		p.server.groupBuilder.Free(group)
		return routing.Decision{}, nil, &engine.StreamError{
			Reason: engine.ReasonUnreachable, Address: group.Shares[0].Address, Detail: "an engine of the group has left the registry",
		}
	}
	d.Upstream = d.Candidates[0].Upstream
	return d, group, nil
}

// groupCandidates returns the engines that may take a share, with their free KV memory according to their last load
// report.
func (p *promptRun) groupCandidates() []reservation.Candidate {
	var list []reservation.Candidate
	for _, u := range p.groupEngines() {
		load := u.Load()
		capacity := load.KVCapacityTokens
		if capacity == 0 {
			capacity = p.index.Manifest.Engines.MemoryTokens
		}
		list = append(list, reservation.Candidate{Upstream: u.ID, Address: u.Address, FreeTokens: capacity - load.KVUsedTokens})
	}
	return list
}

// freeGroup releases the memory that is reserved for the group of the attempt.
func (a *attempt) freeGroup() {
	if a.group != nil {
		a.server.groupBuilder.Free(a.group)
	}
}

// outOfMemory reports whether the engine rejected the prompt for lack of KV memory.
func outOfMemory(err error) bool {
	var refused *engine.RefusedError
	return errors.As(err, &refused) && refused.Status == http.StatusInsufficientStorage
}
