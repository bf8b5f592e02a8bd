// Package placement decides which models the engines of a failure domain load, and orders them to do so.
package placement

import (
	"context"
	"slices"
	"sync"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	interval = clock.Second
	// validity is the time after which engines reject an order.
	validity = 2 * clock.Second
	// margin is what must remain of the lease when an order is sent. The excess over the validity covers the clock skew
	// between machines, so that no order takes effect after the lease.
	margin = 3 * clock.Second
	// maxOrders bounds the orders of one round, which run concurrently.
	maxOrders = 16
)

// Planner orders the engines of a failure domain to load what the manifest demands while this instance holds the domain's
// lease. Set all function fields before Run.
type Planner struct {
	// Valid reports whether this instance holds the lease for at least the margin, and returns the fencing token.
	Valid func(margin clock.Millis) (token uint64, ok bool)
	// Active returns the manifest in effect, or nil without one.
	Active func() *manifest.Manifest
	// Engines returns the engines of the failure domain.
	Engines func() []Engine
	// Demand returns the recent demand for each model in prompt tokens.
	Demand func() map[poplarwinch.ModelName]int64
	// Read asks an engine for its models.
	Read func(ctx context.Context, e Engine) ([]upstream.Loaded, error)
	// Order sends an order. After an error its effect is unknown. Read and Order return within a time limit of their own.
	Order func(ctx context.Context, e Engine, o Order) error

	clock *clock.Clock
	log   log.Interface
	// The fields below belong to Run.
	token    uint64
	holds    bool
	underway map[poplarwinch.UpstreamID]*underway

	// ignoreLease and ignoreFloor break the mechanism; only tests of the tests set them.
	ignoreLease, ignoreFloor bool
}

// New returns a planner.
func New(c *clock.Clock, l log.Interface) *Planner {
	return &Planner{clock: c, log: l, underway: map[poplarwinch.UpstreamID]*underway{}}
}

// Run plans once a second until ctx ends and returns ctx's error.
func (p *Planner) Run(ctx context.Context) error {
	for {
		p.round(ctx)
		if err := p.clock.Sleep(ctx, interval); err != nil {
			return err
		}
	}
}

// round sends the orders that are due.
func (p *Planner) round(ctx context.Context) {
	p.follow()
	token, ok := p.Valid(margin)
	m := p.Active()
	if !ok || token != p.token || m == nil {
		return
	}
	engines := p.Engines()
	p.observe(engines)
	changes := decide(situation{
		now: p.clock.Now(), manifest: m, engines: engines, demand: p.Demand(), underway: p.underway,
		ignoreFloor: p.ignoreFloor,
	})
	changes = changes[:min(len(changes), maxOrders)]
	results := make([]result, len(changes))
	var calls sync.WaitGroup
	for i, a := range changes {
		calls.Go(func() { results[i] = p.send(ctx, a) })
	}
	calls.Wait()
	now := p.clock.Now()
	for i, a := range changes {
		p.record(a, results[i], now)
	}
}

// follow notes whether this instance is the holder. What an earlier holding ordered says nothing about the engines' later
// orders, so a new token starts without orders under way.
func (p *Planner) follow() {
	token, holds := p.Valid(0)
	if holds == p.holds && (token == p.token || !holds) {
		return
	}
	if holds {
		p.token = token
		clear(p.underway)
	}
	p.holds = holds
	p.log.WithFields(log.Fields{"holder": holds, "fencing-number": p.token}).Info("placement holder changed")
}

// observe forgets orders that took effect, that need a new decision, or whose engine was restarted or is gone.
func (p *Planner) observe(engines []Engine) {
	now := p.clock.Now()
	for id, u := range p.underway {
		i := slices.IndexFunc(engines, func(e Engine) bool { return e.ID == id })
		if i < 0 || !engines[i].Up {
			delete(p.underway, id)
			continue
		}
		e := &engines[i]
		ended := e.BootID != u.boot || same(e.Models, u.models)
		if now >= u.valid && ended || now >= u.next && u.outdated(e) {
			delete(p.underway, id)
		}
	}
}

// send orders the engine to load what it lacks, unless its models are not those that the decision was made for: the
// observation is up to seconds old, and an order of an earlier holder may have changed an engine that checks no fencing
// tokens. Such an engine gets a new decision once the change has been observed.
func (p *Planner) send(ctx context.Context, a *assignment) result {
	models, err := p.Read(ctx, a.engine)
	if err != nil || !same(models, a.engine.Models) {
		return resultNotSent
	}
	// The validity counts from before the check of the lease: if this instance is paused after the check, the order has
	// expired before the lease ends.
	until := p.clock.Now() + validity
	token, ok := p.Valid(margin)
	if !p.ignoreLease && (!ok || token != p.token) {
		return resultNotSent
	}
	if p.ignoreLease {
		token, until = p.token, p.clock.Now()+clock.Minute
	}
	order := Order{FencingNumber: token, ValidUntil: until, Models: a.want}
	entry := p.log.WithFields(log.Fields{
		"upstream": string(a.engine.ID), "wanted": describe(a.want), "observed": describe(a.engine.Models),
		"reason": string(a.reason), "fencing-number": token,
	})
	entry.Info("placement decision")
	if err := p.Order(ctx, a.engine, order); err != nil {
		entry.WithError(err).Warn("order failed")
		return resultFailed
	}
	return resultAccepted
}

// record notes an order that was sent.
func (p *Planner) record(a *assignment, r result, now clock.Millis) {
	if r == resultNotSent {
		return
	}
	u := p.underway[a.engine.ID]
	if u == nil || !same(u.models, a.want) {
		u = &underway{models: a.want, observed: a.engine.Models, boot: a.engine.BootID, since: now}
		p.underway[a.engine.ID] = u
	}
	u.next, u.valid = now+repeatAfter, now+validity
	if r == resultFailed {
		u.next = now + retryAfter
	}
}
