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
	// initialBackoff is the mean pause after the first failed attempt to reserve a group; it doubles with each further
	// one.
	initialBackoff clock.Millis = 50
	// maxBackoff bounds the mean pause between attempts.
	maxBackoff = 2 * clock.Second
	// rejectionTimeout is how long an engine that rejected a reservation counts as having at most half of the rejected
	// memory. By then its load report shows the actual figure.
	rejectionTimeout = 2 * clock.Second
)

// Need is the memory that a prompt needs.
type Need struct {
	Request  poplarwinch.RequestID
	Tokens   poplarwinch.Tokens
	Deadline clock.Millis
	// Candidates returns the engines that may take a share, as of their last load reports.
	Candidates func() []Candidate
}

// Builder reserves groups. It builds one group at a time, and none while this instance holds as many as MaxGroups allows.
type Builder struct {
	// Reserve reserves memory on the engine at the address. A *engine.RefusedError means that nothing was reserved.
	Reserve func(ctx context.Context, address string, r engine.Reservation) error
	// Release frees a reservation; it succeeds for unknown ones.
	Release func(ctx context.Context, address string, id engine.ReservationID) error
	// MaxGroups returns the largest number of groups that this instance may hold.
	MaxGroups func() int

	owner      poplarwinch.InstanceID
	clock      *clock.Clock
	log        log.Interface
	buildSlot  chan struct{}
	heldGroups atomic.Int64
	sequence   atomic.Uint64
	freed      chan struct{}
	releases   releaseQueue
	mutex      sync.Mutex
	rejections map[poplarwinch.UpstreamID]rejection
}

// rejection is a reservation size that an engine rejected, and when.
type rejection struct {
	tokens poplarwinch.Tokens
	at     clock.Millis
}

// NewBuilder returns a builder for the owner. Set the exported fields before the first Build.
func NewBuilder(owner poplarwinch.InstanceID, c *clock.Clock, l log.Interface) *Builder {
	return &Builder{
		owner: owner, clock: c, log: l, buildSlot: make(chan struct{}, 1), freed: make(chan struct{}, 1),
		MaxGroups: func() int { return 1 }, rejections: map[poplarwinch.UpstreamID]rejection{},
		releases: releaseQueue{added: make(chan struct{}, 1)},
	}
}

// Build reserves a group for the need. It retries with backoff, holding nothing in between, until there is enough memory
// or ctx ends.
func (b *Builder) Build(ctx context.Context, n Need) (*Group, error) {
	select {
	case b.buildSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, insufficientMemory(&n, ctx.Err())
	}
	defer func() { <-b.buildSlot }()
	if err := b.awaitGroupLimit(ctx); err != nil {
		return nil, insufficientMemory(&n, err)
	}
	backoff := initialBackoff
	for {
		g, err := b.reserveAll(ctx, &n)
		if err == nil {
			b.heldGroups.Add(1)
			return g, nil
		}
		b.log.WithField("request-id", string(n.Request)).WithField("tokens", int64(n.Tokens)).WithError(err).Info("group reservation failed; retrying")
		if wait := b.clock.Sleep(ctx, backoff/2+clock.Millis(rand.Int64N(int64(backoff)))); wait != nil {
			return nil, insufficientMemory(&n, errors.Join(wait, err))
		}
		backoff = min(backoff*2, maxBackoff)
	}
}

// awaitGroupLimit waits until the instance may hold one more group.
func (b *Builder) awaitGroupLimit(ctx context.Context) error {
	for b.heldGroups.Load() >= int64(max(1, b.MaxGroups())) {
		select {
		case <-b.freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// reserveAll reserves all shares or none, in the order of the engines' ids. The common order keeps two builders from
// each holding what the other one lacks.
func (b *Builder) reserveAll(ctx context.Context, n *Need) (*Group, error) {
	shares := divide(n.Tokens, b.applyRejections(n.Candidates()))
	if shares == nil {
		return nil, fmt.Errorf("the engines together have less than %d tokens of free memory", n.Tokens)
	}
	sequence := b.sequence.Add(1)
	for i := range shares {
		shares[i].ID = engine.ReservationID(fmt.Sprintf("%s-%s-%d-%d-%x", b.owner, n.Request, sequence, i, rand.Uint32()))
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
			b.recordRejection(s)
			b.release(ordered[:i])
		} else {
			// Only the reply may be lost, so the failed share is released as well.
			b.release(ordered[:i+1])
		}
		return nil, fmt.Errorf("reserve %d tokens on %s: %w", s.Tokens, s.Upstream, err)
	}
	return &Group{Shares: shares}, nil
}

// Free releases a group. The releases are retried in the background until the engines confirm them or maxRetryTime has
// passed.
func (b *Builder) Free(g *Group) {
	b.release(g.Shares)
	b.heldGroups.Add(-1)
	select {
	case b.freed <- struct{}{}:
	default:
	}
}

// Run processes the queued releases until ctx ends.
func (b *Builder) Run(ctx context.Context) error { return b.releases.run(ctx, b) }

// Pending returns the number of reservations that are queued for release.
func (b *Builder) Pending() int { return b.releases.len() }

func (b *Builder) release(shares []Share) {
	for _, s := range shares {
		b.releases.add(s, b.clock.Now())
	}
}

func (b *Builder) recordRejection(s Share) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.rejections[s.Upstream] = rejection{tokens: s.Tokens, at: b.clock.Now()}
}

// applyRejections returns the candidates with reduced free memory where an engine recently rejected a reservation.
func (b *Builder) applyRejections(candidates []Candidate) []Candidate {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	list := slices.Clone(candidates)
	for i, c := range list {
		r, ok := b.rejections[c.Upstream]
		switch {
		case !ok:
		case now-r.at > rejectionTimeout:
			delete(b.rejections, c.Upstream)
		default:
			list[i].FreeTokens = min(c.FreeTokens, r.tokens/2)
		}
	}
	return list
}

func insufficientMemory(n *Need, cause error) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindOverloaded, Outcome: poplarwinch.OutcomeNotRun, Cause: cause, RetryAfter: 10 * clock.Second,
		Message: fmt.Sprintf("the engines together did not have %d tokens of free memory within the time limit", n.Tokens),
		Remedy:  "retry later, or with a longer time limit",
	}
}
