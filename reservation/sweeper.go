package reservation

import (
	"context"
	"sync"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
)

const (
	sweepInterval = 5 * clock.Second
	// sweepMargin covers the difference between the clocks of two instances, assumed below 0.5 s, and requests that are
	// ending at their deadline.
	sweepMargin  = 2 * clock.Second
	sweepTimeout = 2 * clock.Second
	sweepSlots   = 8
)

// Target is an engine whose memory is swept.
type Target struct {
	Upstream poplarwinch.UpstreamID
	Address  string
}

// Sweeper frees reservations and exports whose deadline has passed, whoever owns them. The engine's own list is the
// only record, so nothing is lost with the owner.
type Sweeper struct {
	// Targets returns the engines that this instance sweeps.
	Targets      func() []Target
	Reservations func(ctx context.Context, address string) ([]engine.Reservation, error)
	Release      func(ctx context.Context, address string, id engine.ReservationID) error
	Exports      func(ctx context.Context, address string) ([]engine.Export, error)
	DeleteExport func(ctx context.Context, address string, id engine.ExportID) error

	clock *clock.Clock
	log   log.Interface
}

// NewSweeper returns a sweeper. Set the fields before Run.
func NewSweeper(c *clock.Clock, l log.Interface) *Sweeper { return &Sweeper{clock: c, log: l} }

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	for {
		s.Sweep(ctx)
		if err := s.clock.Sleep(ctx, sweepInterval); err != nil {
			return err
		}
	}
}

// Sweep visits each target once.
func (s *Sweeper) Sweep(ctx context.Context) {
	var group sync.WaitGroup
	slots := make(chan struct{}, sweepSlots)
	for _, t := range s.Targets() {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			s.run(ctx, t)
		})
	}
	group.Wait()
}

// run sweeps one engine. An engine that does not answer is visited again in the next round.
func (s *Sweeper) run(ctx context.Context, t Target) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout.Duration())
	defer cancel()
	due := s.clock.Now() - sweepMargin
	reservations, err := s.Reservations(ctx, t.Address)
	if err != nil {
		return
	}
	for _, r := range reservations {
		if r.Deadline < due {
			s.note(t, "reservation", string(r.ID), r.Owner, r.Tokens, s.Release(ctx, t.Address, r.ID))
		}
	}
	exports, err := s.Exports(ctx, t.Address)
	if err != nil {
		return
	}
	for _, e := range exports {
		if e.Deadline < due {
			s.note(t, "export", string(e.ID), e.Owner, e.Tokens, s.DeleteExport(ctx, t.Address, e.ID))
		}
	}
}

func (s *Sweeper) note(t Target, kind, id string, owner poplarwinch.InstanceID, tokens poplarwinch.Tokens, err error) {
	entry := s.log.WithFields(log.Fields{
		"upstream": string(t.Upstream), "kind": kind, "id": id, "owner": string(owner), "tokens": int64(tokens),
	})
	if err != nil {
		entry.WithError(err).Warn("memory past its deadline not reclaimed; the next sweep tries again")
		return
	}
	entry.Warn("memory past its deadline reclaimed")
}
