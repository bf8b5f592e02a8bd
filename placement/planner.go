// Package placement decides which models each engine of a failure domain has loaded, and sends the engines orders.
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
	// roundInterval is the time between planning rounds.
	roundInterval = clock.Second
	// orderValidity is the time from sending after which engines reject an order.
	orderValidity = 2 * clock.Second
	// leaseMargin is the time that must remain of the lease when an order is sent. The excess over orderValidity covers
	// the clock skew between machines, so that no order takes effect after the lease has expired.
	leaseMargin = 3 * clock.Second
	// maxOrdersPerRound limits the orders of one round, which are sent concurrently.
	maxOrdersPerRound = 16
)

// Planner orders the engines of a failure domain to load the models that the manifest demands, while this instance
// holds the domain's lease. Set all function fields before Run.
type Planner struct {
	// Valid reports whether this instance holds the lease for at least margin from now, and returns the fencing token.
	Valid func(margin clock.Millis) (token uint64, ok bool)
	// Active returns the active manifest, or nil if there is none.
	Active func() *manifest.Manifest
	// Engines returns the engines of the failure domain.
	Engines func() []Engine
	// Demand returns the recent demand for each model in prompt tokens.
	Demand func() map[poplarwinch.ModelName]int64
	// ReadModels queries an engine for its loaded models.
	ReadModels func(ctx context.Context, e Engine) ([]upstream.LoadedModel, error)
	// Order sends an order. After an error its effect is unknown. ReadModels and Order must enforce a timeout of their own.
	Order func(ctx context.Context, e Engine, o Order) error

	clock *clock.Clock
	log   log.Interface
	// The fields below are accessed only by Run.
	token    uint64
	isHolder bool
	pending  map[poplarwinch.UpstreamID]*pending

	// ignoreLease and ignoreMinimums disable safeguards; only TestCheckerDetects sets them.
	ignoreLease, ignoreMinimums bool
}

// New returns a planner with the clock and logger; its function fields are not set.
func New(c *clock.Clock, l log.Interface) *Planner {
	return &Planner{clock: c, log: l, pending: map[poplarwinch.UpstreamID]*pending{}}
}

// Run plans once a second until ctx ends and returns ctx's error.
func (p *Planner) Run(ctx context.Context) error {
	for {
		p.round(ctx)
		if err := p.clock.Sleep(ctx, roundInterval); err != nil {
			return err
		}
	}
}

// round computes the changes and sends their orders, if this instance holds the lease and a manifest is active.
func (p *Planner) round(ctx context.Context) {
	p.updateHolder()
	token, ok := p.Valid(leaseMargin)
	m := p.Active()
	if !ok || token != p.token || m == nil {
		return
	}
	engines := p.Engines()
	p.prunePending(engines)
	changes := decide(planInput{
		now: p.clock.Now(), manifest: m, engines: engines, demand: p.Demand(), pending: p.pending,
		ignoreMinimums: p.ignoreMinimums,
	})
	changes = changes[:min(len(changes), maxOrdersPerRound)]
	results := make([]orderResult, len(changes))
	var calls sync.WaitGroup
	for i, a := range changes {
		calls.Go(func() { results[i] = p.send(ctx, a) })
	}
	calls.Wait()
	now := p.clock.Now()
	for i, a := range changes {
		p.recordOrder(a, results[i], now)
	}
}

// updateHolder records whether this instance holds the lease. A new token discards the pending orders, since another
// holder may have sent the engines later ones.
func (p *Planner) updateHolder() {
	token, isHolder := p.Valid(0)
	if isHolder == p.isHolder && (token == p.token || !isHolder) {
		return
	}
	if isHolder {
		p.token = token
		clear(p.pending)
	}
	p.isHolder = isHolder
	p.log.WithFields(log.Fields{"holder": isHolder, "fencing-number": p.token}).Info("placement holder changed")
}

// prunePending removes pending orders that took effect or need a new decision, and those of engines that restarted, are
// leaving or down, or are no longer listed.
func (p *Planner) prunePending(engines []Engine) {
	now := p.clock.Now()
	for id, o := range p.pending {
		i := slices.IndexFunc(engines, func(e Engine) bool { return e.ID == id })
		if i < 0 || !engines[i].Up {
			delete(p.pending, id)
			continue
		}
		e := &engines[i]
		done := e.BootID != o.bootID || sameModels(e.Models, o.models)
		if now >= o.validUntil && done || now >= o.repeatAt && o.conflictsWith(e) {
			delete(p.pending, id)
		}
	}
}

// send sends the order of an assignment, unless the engine's models differ from those that the decision was based on:
// the observation may be seconds old, and an order of an earlier holder may have changed an engine that doesn't check
// fencing tokens. Such an engine gets a new decision once the change has been observed.
func (p *Planner) send(ctx context.Context, a *assignment) orderResult {
	models, err := p.ReadModels(ctx, a.engine)
	if err != nil || !sameModels(models, a.engine.Models) {
		return resultNotSent
	}
	// The validity is counted from before the check of the lease: if this instance is paused after the check, the order
	// still expires before the lease does.
	validUntil := p.clock.Now() + orderValidity
	token, ok := p.Valid(leaseMargin)
	if !p.ignoreLease && (!ok || token != p.token) {
		return resultNotSent
	}
	if p.ignoreLease {
		token, validUntil = p.token, p.clock.Now()+clock.Minute
	}
	order := Order{FencingToken: token, ValidUntil: validUntil, Models: a.want}
	entry := p.log.WithFields(log.Fields{
		"upstream": string(a.engine.ID), "wanted": formatModels(a.want), "observed": formatModels(a.engine.Models),
		"reason": string(a.reason), "fencing-number": token,
	})
	entry.Info("placement decision")
	if err := p.Order(ctx, a.engine, order); err != nil {
		entry.WithError(err).Warn("placement order rejected or not answered")
		return resultFailed
	}
	return resultAccepted
}

// recordOrder records an order as pending if it was sent.
func (p *Planner) recordOrder(a *assignment, r orderResult, now clock.Millis) {
	if r == resultNotSent {
		return
	}
	order := p.pending[a.engine.ID]
	if order == nil || !sameModels(order.models, a.want) {
		order = &pending{models: a.want, observed: a.engine.Models, bootID: a.engine.BootID, firstSent: now}
		p.pending[a.engine.ID] = order
	}
	order.repeatAt, order.validUntil = now+repeatAfter, now+orderValidity
	if r == resultFailed {
		order.repeatAt = now + retryAfter
	}
}
