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
	// sweepInterval is the pause between two sweeps.
	sweepInterval = 5 * clock.Second
	// sweepMargin is added to deadlines to allow for the clock difference between two instances, assumed below 0.5 s,
	// and for requests that are ending at their deadline.
	sweepMargin = 2 * clock.Second
	// sweepTimeout bounds the sweep of one engine.
	sweepTimeout = 2 * clock.Second
	// sweepConcurrency is the number of engines that are swept at the same time.
	sweepConcurrency = 8
)

// Target is an engine to be swept.
type Target struct {
	Upstream poplarwinch.UpstreamID
	Address  string
}

// Sweeper releases reservations and deletes exports whose deadline has passed, whichever instance owns them. It reads
// them from the engines, so none is lost when its owner crashes.
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

// NewSweeper returns a sweeper. Set the exported fields before Run.
func NewSweeper(c *clock.Clock, l log.Interface) *Sweeper { return &Sweeper{clock: c, log: l} }

// Run sweeps all targets periodically until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	for {
		s.Sweep(ctx)
		if err := s.clock.Sleep(ctx, sweepInterval); err != nil {
			return err
		}
	}
}

// Sweep sweeps each target once.
func (s *Sweeper) Sweep(ctx context.Context) {
	var group sync.WaitGroup
	slots := make(chan struct{}, sweepConcurrency)
	for _, t := range s.Targets() {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			s.sweepEngine(ctx, t)
		})
	}
	group.Wait()
}

// sweepEngine sweeps one engine. An engine that does not answer is left to the next sweep.
func (s *Sweeper) sweepEngine(ctx context.Context, t Target) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout.Duration())
	defer cancel()
	cutoff := s.clock.Now() - sweepMargin
	reservations, err := s.Reservations(ctx, t.Address)
	if err != nil {
		return
	}
	for _, r := range reservations {
		if r.Deadline < cutoff {
			s.logResult(t, "reservation", string(r.ID), r.Owner, r.Tokens, s.Release(ctx, t.Address, r.ID))
		}
	}
	exports, err := s.Exports(ctx, t.Address)
	if err != nil {
		return
	}
	for _, e := range exports {
		if e.Deadline < cutoff {
			s.logResult(t, "export", string(e.ID), e.Owner, e.Tokens, s.DeleteExport(ctx, t.Address, e.ID))
		}
	}
}

func (s *Sweeper) logResult(t Target, kind, id string, owner poplarwinch.InstanceID, tokens poplarwinch.Tokens, err error) {
	entry := s.log.WithFields(log.Fields{
		"upstream": string(t.Upstream), "kind": kind, "id": id, "owner": string(owner), "tokens": int64(tokens),
	})
	if err != nil {
		entry.WithError(err).Warn("memory past its deadline not reclaimed; the next sweep retries")
		return
	}
	entry.Warn("memory past its deadline reclaimed")
}
