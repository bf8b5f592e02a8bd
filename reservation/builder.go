package reservation

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
)

const (
	firstBackoff clock.Millis = 50
	maxBackoff                = 2 * clock.Second
	// fullFor is how long an engine that rejected a reservation counts as having half of the rejected memory, until its
	// load report shows the actual figure.
	fullFor = 2 * clock.Second
)

// Need is the memory that a prompt needs.
type Need struct {
	Request  poplarwinch.RequestID
	Tokens   poplarwinch.Tokens
	Deadline clock.Millis
	// Candidates returns the engines that may take a share, by their last reports.
	Candidates func() []Candidate
}

// Builder reserves groups. It builds one at a time, and none while its groups take up their part of the engines.
type Builder struct {
	// Reserve reserves memory on the engine at the address. A *engine.RefusedError means that nothing was reserved.
	Reserve func(ctx context.Context, address string, r engine.Reservation) error
	// Release frees a reservation; it succeeds for unknown ones.
	Release func(ctx context.Context, address string, id engine.ReservationID) error
	// Limit returns the number of groups that this instance may hold.
	Limit func() int

	owner    poplarwinch.InstanceID
	clock    *clock.Clock
	log      log.Interface
	building chan struct{}
	held     atomic.Int64
	number   atomic.Uint64
	freed    chan struct{}
	releases queue
	mutex    sync.Mutex
	full     map[poplarwinch.UpstreamID]rejection
}

// rejection is the memory that an engine did not have at a time.
type rejection struct {
	tokens poplarwinch.Tokens
	at     clock.Millis
}

// NewBuilder returns a builder for the owner. Set the fields before the first Build.
func NewBuilder(owner poplarwinch.InstanceID, c *clock.Clock, l log.Interface) *Builder {
	return &Builder{
		owner: owner, clock: c, log: l, building: make(chan struct{}, 1), freed: make(chan struct{}, 1),
		Limit: func() int { return 1 }, full: map[poplarwinch.UpstreamID]rejection{},
		releases: queue{added: make(chan struct{}, 1)},
	}
}

// Build reserves a group for the need. It waits with backoff, holding nothing, until there is enough memory or ctx
// ends.
func (b *Builder) Build(ctx context.Context, n Need) (*Group, error) {
	select {
	case b.building <- struct{}{}:
	case <-ctx.Done():
		return nil, tooLittle(&n, ctx.Err())
	}
	defer func() { <-b.building }()
	if err := b.awaitTurn(ctx); err != nil {
		return nil, tooLittle(&n, err)
	}
	pause := firstBackoff
	for {
		g, err := b.try(ctx, &n)
		if err == nil {
			b.held.Add(1)
			return g, nil
		}
		b.log.WithField("request-id", string(n.Request)).WithField("tokens", int64(n.Tokens)).WithError(err).Info("group not reserved")
		if wait := b.clock.Sleep(ctx, pause/2+clock.Millis(rand.Int64N(int64(pause)))); wait != nil {
			return nil, tooLittle(&n, errors.Join(wait, err))
		}
		pause = min(pause*2, maxBackoff)
	}
}

// awaitTurn waits until the instance may hold one more group.
func (b *Builder) awaitTurn(ctx context.Context) error {
	for b.held.Load() >= int64(max(1, b.Limit())) {
		select {
		case <-b.freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// try reserves all shares in the order of the engines' ids, or none. The common order keeps two builders from each
// holding what the other one lacks.
func (b *Builder) try(ctx context.Context, n *Need) (*Group, error) {
	shares := divide(n.Tokens, b.corrected(n.Candidates()))
	if shares == nil {
		return nil, fmt.Errorf("the engines have less than %d tokens of free memory", n.Tokens)
	}
	number := b.number.Add(1)
	for i := range shares {
		shares[i].ID = engine.ReservationID(fmt.Sprintf("%s-%s-%d-%d-%x", b.owner, n.Request, number, i, rand.Uint32()))
	}
	ordered := slices.Clone(shares)
	slices.SortFunc(ordered, func(x, y Share) int { return cmp.Compare(x.Upstream, y.Upstream) })
	for i, s := range ordered {
		err := b.Reserve(ctx, s.Address, engine.Reservation{
			ID: s.ID, Owner: b.owner, Request: n.Request, Tokens: s.Tokens, Deadline: n.Deadline,
		})
		if err == nil {
			continue
		}
		var refused *engine.RefusedError
		if errors.As(err, &refused) {
			b.reject(s)
			b.release(ordered[:i])
		} else {
			// The reply may be lost, so the last share is freed as well.
			b.release(ordered[:i+1])
		}
		return nil, fmt.Errorf("reserve %d tokens on %s: %w", s.Tokens, s.Upstream, err)
	}
	return &Group{Shares: shares}, nil
}

// Free releases a group. Its releases are repeated in the background until the engines confirm them.
func (b *Builder) Free(g *Group) {
	b.release(g.Shares)
	b.held.Add(-1)
	select {
	case b.freed <- struct{}{}:
	default:
	}
}

// Run frees reservations until ctx ends.
func (b *Builder) Run(ctx context.Context) error { return b.releases.run(ctx, b) }

// Pending returns the number of reservations that are still to be freed.
func (b *Builder) Pending() int { return b.releases.len() }

func (b *Builder) release(shares []Share) {
	for _, s := range shares {
		b.releases.add(s, b.clock.Now())
	}
}

func (b *Builder) reject(s Share) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.full[s.Upstream] = rejection{tokens: s.Tokens, at: b.clock.Now()}
}

// corrected returns the candidates with less free memory where an engine recently rejected a reservation.
func (b *Builder) corrected(candidates []Candidate) []Candidate {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	list := slices.Clone(candidates)
	for i, c := range list {
		r, ok := b.full[c.Upstream]
		switch {
		case !ok:
		case now-r.at > fullFor:
			delete(b.full, c.Upstream)
		default:
			list[i].Free = min(c.Free, r.tokens/2)
		}
	}
	return list
}

func tooLittle(n *Need, cause error) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindOverloaded, Outcome: poplarwinch.OutcomeNotRun, Cause: cause, RetryAfter: 10 * clock.Second,
		Message: fmt.Sprintf("the engines had no %d tokens of free memory together within the time limit", n.Tokens),
		Remedy:  "retry later, or with a longer time limit",
	}
}
