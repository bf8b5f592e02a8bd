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
	// needPercent and needExtra cover the error of the token estimate.
	needPercent                    = 105
	needExtra   poplarwinch.Tokens = 512
)

// need returns the KV memory that the prompt and its answer may take.
func (p *promptRun) need() poplarwinch.Tokens {
	return p.prompt.Tokens*needPercent/100 + p.prompt.MaxNew + needExtra
}

// needsGroup reports whether no single engine can hold the prompt.
func (p *promptRun) needsGroup() bool {
	if p.grouped {
		return true
	}
	capacity := poplarwinch.Tokens(0)
	for _, u := range p.groupEngines() {
		capacity = max(capacity, u.Load().KVCapacityTokens)
	}
	if capacity == 0 {
		capacity = p.index.Manifest.Engines.MemoryTokens
	}
	return p.need() > capacity
}

// groupEngines returns the engines of one failure domain that have the model; a group does not span domains.
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
	group, err := p.server.groups.Build(ctx, reservation.Need{
		Request: p.id, Tokens: p.need(), Deadline: clock.FromTime(p.deadline), Candidates: p.groupCandidates,
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
		p.server.groups.Free(group)
		return routing.Decision{}, nil, &engine.StreamError{
			Reason: engine.ReasonUnreachable, Address: group.Shares[0].Address, Detail: "an engine of the group is no longer known",
		}
	}
	d.Upstream = d.Candidates[0].Upstream
	return d, group, nil
}

// groupCandidates returns the engines that may take a share, with their free memory by the last report.
func (p *promptRun) groupCandidates() []reservation.Candidate {
	var list []reservation.Candidate
	for _, u := range p.groupEngines() {
		load := u.Load()
		capacity := load.KVCapacityTokens
		if capacity == 0 {
			capacity = p.index.Manifest.Engines.MemoryTokens
		}
		list = append(list, reservation.Candidate{Upstream: u.ID, Address: u.Address, Free: capacity - load.KVUsedTokens})
	}
	return list
}

// freeGroup returns the memory of the attempt's group.
func (a *attempt) freeGroup() {
	if a.group != nil {
		a.server.groups.Free(a.group)
	}
}

// outOfMemory reports whether the engine rejected the prompt for lack of KV memory.
func outOfMemory(err error) bool {
	var refused *engine.RefusedError
	return errors.As(err, &refused) && refused.Status == http.StatusInsufficientStorage
}
