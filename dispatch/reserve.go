package dispatch

import (
	"context"
	"errors"
	"sync"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// reserveTimeout is the timeout for reserving the memory of one plan; after it, a new plan is made.
	reserveTimeout clock.Millis = 400
	// renewalsPerTTL is the number of renewals within the time to live of a reservation.
	renewalsPerTTL = 3
	// attemptsPerTTL is the number of attempts to renew a reservation that an engine leaves unanswered within its time to live.
	attemptsPerTTL = 6
	// unusedFraction is the fraction of the limit for unused reservations after which an attempt whose request is not shown to
	// use its reservations ends. The rest is left for the answer of the engine and for the releases.
	unusedFraction = 0.7
	// maxUnusedFraction is the fraction of that limit until which an engine that does not answer is asked again.
	maxUnusedFraction = 0.85
	// usageRetryInterval is the time between two such questions.
	usageRetryInterval clock.Millis = 250
	// usageTimeout is the timeout for asking an engine whether a reservation is in use.
	usageTimeout clock.Millis = 500
)

// errReservationUnused is the cancellation cause of a call whose request has not begun to use its reservations within the limit.
var errReservationUnused = errors.New("the request did not begin to use its reserved memory within the time limit")

// freeMemory returns the free memory of the engines of a plan.
func freeMemory(candidates []fleet.Candidate, pool route.Pool, plan *assignment.Plan) []reservation.Candidate {
	chosen := map[poplarwinch.UpstreamID]bool{plan.First: true}
	for _, id := range plan.Helpers {
		chosen[id] = true
	}
	var list []reservation.Candidate
	for i := range candidates {
		if c := &candidates[i]; chosen[c.ID] {
			list = append(list, reservation.Candidate{Upstream: c.ID, Address: c.Address, FreeTokens: assignment.FreeTokens(&pool, c)})
		}
	}
	return list
}

// reserveOrReject is reserve for a request that waits for its memory. It is rejected if it has waited for too long.
func (x *run) reserveOrReject(ctx context.Context, selected *selection) (*selection, error) {
	selected, err := x.reserve(ctx, selected)
	if selected == nil && err == nil {
		return nil, x.notReserved()
	}
	return selected, err
}

// reserve reserves the memory of a plan and records its load. Both results are nil if the memory could not be reserved. It runs beside the
// attempt for a successor, so it must not use what changes during one.
func (x *run) reserve(ctx context.Context, selected *selection) (*selection, error) {
	limit, cancel := context.WithTimeout(ctx, reserveTimeout.Duration())
	defer cancel()
	group, err := x.d.reservations.Build(limit, reservation.Need{
		Request: x.ID, Tokens: x.PromptTokens + x.MaxAnswerTokens, Deadline: x.Deadline,
		Candidates: func() []reservation.Candidate { return x.reservable(selected) },
	})
	if err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		x.log.WithError(err).Info("memory not reserved; waiting")
		return nil, nil
	}
	if first := group.Shares[0].Upstream; !x.d.fleet.Accepts(first, selected.engines()...) {
		x.log.WithField("upstream", first).Info("a server takes no more requests since memory was reserved; waiting")
		x.d.background.Go(func() { x.d.reservations.Free(group) })
		return nil, nil
	}
	selected.first = x.d.fleet.Current(selected.first)
	selected.group = group
	x.applyShares(selected, group.Shares)
	renew, stop := context.WithCancel(context.WithoutCancel(ctx))
	selected.stopRenewals, selected.renewalsDone = stop, make(chan struct{})
	x.d.background.Go(func() { x.runRenewals(renew, group, selected.renewalsDone) })
	return selected, nil
}

// engines returns the first server and the helpers.
func (s *selection) engines() []poplarwinch.UpstreamID {
	ids := []poplarwinch.UpstreamID{s.first.ID}
	for _, h := range s.helpers {
		ids = append(ids, h.ID)
	}
	return ids
}

// watchUsage cancels the call of a selection with reservations when the request is not shown to use them within the limit: the
// engine that should run it may accept requests and never begin them. It returns a function that ends the watch.
func (x *run) watchUsage(ctx context.Context, selected *selection, cancel context.CancelCauseFunc) (stop func()) {
	if selected.group == nil || x.d.unusedLimit == 0 {
		return func() {}
	}
	watch, stop := context.WithCancel(ctx)
	x.d.background.Go(func() { x.runUsageWatch(watch, selected, cancel) })
	return stop
}

// runUsageWatch asks the first engine whether the request uses its reservation, whenever the limit has nearly passed since the
// last proof of that, until the first event arrives or ctx ends.
func (x *run) runUsageWatch(ctx context.Context, selected *selection, cancel context.CancelCauseFunc) {
	interval := clock.Millis(unusedFraction * float64(x.d.unusedLimit))
	for x.d.clock.Sleep(ctx, interval) == nil {
		if selected.ticket.Prefilled() {
			return
		}
		used, err := x.awaitUsage(ctx, selected)
		if ctx.Err() != nil || selected.ticket.Prefilled() {
			return
		}
		entry := x.log.WithField("upstream", selected.first.ID).WithField("used", used)
		if used {
			entry.Info("no event yet, but the reserved memory is in use")
			continue
		}
		if err != nil {
			entry = entry.WithError(err)
		}
		entry.Warn("reserved memory not in use; ending the attempt")
		cancel(errReservationUnused)
		return
	}
}

// awaitUsage asks the first engine of a selection whether its reservation is in use, until it answers or the time for that has passed:
// a sound engine may be silent for a moment.
func (x *run) awaitUsage(ctx context.Context, selected *selection) (bool, error) {
	last := x.d.clock.Now() + clock.Millis((maxUnusedFraction-unusedFraction)*float64(x.d.unusedLimit))
	for {
		used, err := x.reservationUsed(ctx, selected)
		if err == nil || x.d.clock.Now() >= last || x.d.clock.Sleep(ctx, usageRetryInterval) != nil {
			return used, err
		}
	}
}

// reservationUsed asks the first engine of a selection whether its reservation is in use.
func (x *run) reservationUsed(ctx context.Context, selected *selection) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout.Duration())
	defer cancel()
	return x.d.reservationInUse(ctx, selected.first.Address, selected.helpers[0].Reservation)
}

// applyShares makes the engine of the first share, the largest, the first server and sets the reservations of the helpers.
func (x *run) applyShares(selected *selection, shares []reservation.Share) {
	ids := map[poplarwinch.UpstreamID]engine.ReservationID{}
	tokens := map[poplarwinch.UpstreamID]poplarwinch.Tokens{}
	for _, s := range shares {
		ids[s.Upstream] = s.ID
		tokens[s.Upstream] = s.Tokens
	}
	engines := append([]Helper{{Server: selected.first}}, selected.helpers...)
	selected.helpers = nil
	var unreserved []Helper
	for _, s := range shares {
		for _, e := range engines {
			if e.ID == s.Upstream {
				selected.helpers = append(selected.helpers, Helper{Server: e.Server, Reservation: s.ID})
			}
		}
	}
	for _, e := range engines {
		if ids[e.ID] == "" {
			unreserved = append(unreserved, e)
		}
	}
	selected.first = selected.helpers[0].Server
	selected.helpers = append(selected.helpers, unreserved...)
	memory := tokens[selected.first.ID]
	delete(tokens, selected.first.ID)
	x.recordLoad(selected, memory, tokens)
}

// runRenewals renews the reservations until ctx ends, and then closes done. Reservations are short so that those of a
// crashed process expire soon. Each one is renewed by itself, so that an engine that leaves orders unanswered doesn't hold up the others.
func (x *run) runRenewals(ctx context.Context, group *reservation.Group, done chan<- struct{}) {
	defer close(done)
	var renewals sync.WaitGroup
	for _, s := range group.Shares {
		renewals.Go(func() { x.runRenewal(ctx, s) })
	}
	renewals.Wait()
}

// runRenewal renews one reservation until ctx ends. A renewal without an answer is repeated at once.
func (x *run) runRenewal(ctx context.Context, s reservation.Share) {
	interval := x.d.reservationTTL / renewalsPerTTL
	for wait := interval; x.d.clock.Sleep(ctx, wait) == nil; {
		started := x.d.clock.Now()
		err := x.renew(ctx, s)
		wait = max(started+interval-x.d.clock.Now(), 0)
		if err == nil || ctx.Err() != nil {
			continue
		}
		x.log.WithField("upstream", s.Upstream).WithError(err).Warn("reservation not renewed")
		if errors.Is(err, context.DeadlineExceeded) {
			wait = 0
		}
	}
}

// renew renews a reservation, within the time that leaves room for another attempt.
func (x *run) renew(ctx context.Context, s reservation.Share) error {
	ctx, cancel := context.WithTimeout(ctx, (x.d.reservationTTL / attemptsPerTTL).Duration())
	defer cancel()
	x.d.fleet.CountOrders([]poplarwinch.UpstreamID{s.Upstream})
	return x.d.reservations.Reserve(ctx, s.Address, engine.Reservation{ID: s.ID, Tokens: s.Tokens})
}
