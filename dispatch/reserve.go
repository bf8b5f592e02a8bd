package dispatch

import (
	"context"
	"errors"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// reserveTimeout bounds the reservation of memory for one plan; after that the fleet is looked at again.
	reserveTimeout clock.Millis = 400
	// renewals is the number of times that a reservation is renewed within its span.
	renewals = 3
)

// freeMemory returns the memory on the engines of a plan.
func freeMemory(candidates []fleet.Candidate, pool route.Pool, plan *assignment.Plan) []reservation.Candidate {
	chosen := map[poplarwinch.UpstreamID]bool{plan.First: true}
	for _, id := range plan.Helpers {
		chosen[id] = true
	}
	var list []reservation.Candidate
	for i := range candidates {
		if c := &candidates[i]; chosen[c.ID] {
			list = append(list, reservation.Candidate{Upstream: c.ID, Address: c.Address, Free: assignment.Free(&pool, c)})
		}
	}
	return list
}

// reserve reserves the memory of a plan and counts its work. Both results are nil if the engines lack the memory.
func (x *run) reserve(ctx context.Context, found *spot) (*spot, error) {
	limit, cancel := context.WithTimeout(ctx, reserveTimeout.Duration())
	defer cancel()
	group, err := x.d.memory.Build(limit, reservation.Need{
		Request: x.ID, Tokens: x.Prompt + x.Answer, Deadline: x.Deadline,
		Candidates: func() []reservation.Candidate { return found.free },
	})
	if err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		x.log.WithError(err).Info("memory not reserved; waiting")
		return nil, nil
	}
	found.group = group
	x.arrange(found, group.Shares)
	renew, end := context.WithCancel(context.WithoutCancel(ctx))
	found.endRenewals, found.renewed = end, make(chan struct{})
	x.d.background.Go(func() { x.runRenewals(renew, group, found.renewed) })
	return found, nil
}

// arrange makes the engine with the largest share the first one and gives the helpers their reservations.
func (x *run) arrange(found *spot, shares []reservation.Share) {
	ids := map[poplarwinch.UpstreamID]engine.ReservationID{}
	tokens := map[poplarwinch.UpstreamID]poplarwinch.Tokens{}
	for _, s := range shares {
		ids[s.Upstream] = s.ID
		tokens[s.Upstream] = s.Tokens
	}
	engines := append([]Helper{{Server: found.first}}, found.helpers...)
	found.helpers = nil
	var plain []Helper
	for _, s := range shares {
		for _, e := range engines {
			if e.ID == s.Upstream {
				found.helpers = append(found.helpers, Helper{Server: e.Server, Reservation: s.ID})
			}
		}
	}
	for _, e := range engines {
		if ids[e.ID] == "" {
			plain = append(plain, e)
		}
	}
	found.first = found.helpers[0].Server
	found.helpers = append(found.helpers, plain...)
	memory := tokens[found.first.ID]
	delete(tokens, found.first.ID)
	x.occupy(found, memory, tokens)
}

// runRenewals keeps the reservations alive until ctx ends, and closes ended then. They are short, so that those of a process
// that dies end soon.
func (x *run) runRenewals(ctx context.Context, group *reservation.Group, ended chan<- struct{}) {
	defer close(ended)
	for x.d.clock.Sleep(ctx, x.d.holdSpan/renewals) == nil {
		for _, s := range group.Shares {
			if ctx.Err() != nil {
				return
			}
			err := x.d.memory.Reserve(ctx, s.Address, engine.Reservation{ID: s.ID, Tokens: s.Tokens})
			if err != nil && !errors.Is(err, context.Canceled) {
				x.log.WithField("upstream", s.Upstream).WithError(err).Warn("reservation not renewed")
			}
		}
	}
}
