package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

const (
	// stateRunning is the state of a row while its suspect may be running.
	stateRunning = "running"
	// stateIdle is the state of a row after its last run has ended.
	stateIdle = "idle"

	// rejectThreshold is the number of engine deaths after which a request is rejected.
	rejectThreshold = 2

	// guardPollInterval is the time between attempts to acquire or release a row.
	guardPollInterval = 200 * clock.Millis(1)
	// clockSkewMargin is added to the time limit of a run to cover the clock skew between instances, which is assumed to
	// be below 0.5 s.
	clockSkewMargin = 2 * clock.Second
)

// ErrRejected means that the request has crashed two engines.
var ErrRejected = errors.New("the request has crashed two engines")

// Guard allows only one copy of a suspect to run at a time in the whole fleet, by locking a row of the table. Suspects
// are rare, so this needs few writes. While the table is unavailable, no suspect runs.
type Guard struct {
	get   func(ctx context.Context, key string) (table.Row, bool, error)
	put   func(ctx context.Context, row table.Row, condition table.Condition) error
	clock *clock.Clock
	// recent writes rows again that a restore of the table has removed.
	recent *table.Recent
}

// NewGuard returns a guard that reads and writes rows with get and put, which have the contracts of table.Table.
func NewGuard(
	c *clock.Clock,
	get func(ctx context.Context, key string) (table.Row, bool, error),
	put func(ctx context.Context, row table.Row, condition table.Condition) error,
) *Guard {
	return &Guard{get: get, put: put, clock: c, recent: table.NewRecent(c, get, put)}
}

// Run writes rows again that a restore of the table has removed, until ctx ends, and returns ctx's error.
func (g *Guard) Run(ctx context.Context) error { return g.recent.Run(ctx) }

// guardRecord is the body of a row.
type guardRecord struct {
	Deaths int `json:"deaths"`
	// Until is the time after which a run that has not been released counts as an engine death.
	Until clock.Millis `json:"until-ms"`
	At    clock.Millis `json:"at-ms"`
}

// Acquire waits until no other copy of the suspect runs and returns a permit that is valid until the given time.
// knownDeaths is the number of deaths that this instance knows of. The error is ErrRejected, the context's or the
// table's.
func (g *Guard) Acquire(ctx context.Context, f Fingerprint, knownDeaths int, until clock.Millis) (*Permit, error) {
	for {
		p, deaths, err := g.tryAcquire(ctx, "suspect/"+f.String(), knownDeaths, until)
		switch {
		case err != nil:
			return nil, err
		case p != nil:
			return p, nil
		case deaths >= rejectThreshold:
			return nil, ErrRejected
		}
		if err := g.clock.Sleep(ctx, guardPollInterval); err != nil {
			return nil, err
		}
	}
}

// AcquireEngine returns a permit to run a suspect on the engine, or nil while another suspect runs there. If two ran
// together, the death of the engine would not show which one caused it.
func (g *Guard) AcquireEngine(ctx context.Context, u poplarwinch.UpstreamID, until clock.Millis) (*Permit, error) {
	p, _, err := g.tryAcquire(ctx, "isolation/"+string(u), 0, until)
	if err != nil {
		return nil, unavailable(err)
	}
	return p, nil
}

// tryAcquire returns a permit if the row is free. If it is not, it returns the number of deaths in the row; if another
// instance acquired the row first, it returns 0.
func (g *Guard) tryAcquire(ctx context.Context, key string, knownDeaths int, until clock.Millis) (p *Permit, deaths int, err error) {
	row, exists, err := g.get(ctx, key)
	if err != nil {
		return nil, 0, fmt.Errorf("read the suspect's row: %w", err)
	}
	deaths, free, err := g.inspect(row, exists, knownDeaths)
	if err != nil || !free || knownDeaths > 0 && deaths >= rejectThreshold {
		return nil, deaths, err
	}
	condition := table.Absent()
	if exists {
		condition = table.StateIs(row.State, row.Attempt)
	}
	p = &Permit{guard: g, key: key, deaths: deaths, replaced: row.Attempt}
	held, err := p.write(ctx, condition, until+clockSkewMargin)
	if err != nil || !held {
		return nil, 0, err
	}
	return p, deaths, nil
}

// inspect returns the number of deaths of a row and whether no run holds it. A run that was not released within its time
// limit counts as a death.
func (g *Guard) inspect(row table.Row, exists bool, knownDeaths int) (deaths int, free bool, err error) {
	if !exists {
		return knownDeaths, true, nil
	}
	var r guardRecord
	if err := json.Unmarshal(row.Body, &r); err != nil {
		return 0, false, fmt.Errorf("decode the suspect's row: %w", err)
	}
	now := g.clock.Now()
	switch {
	case row.State == stateRunning && now <= r.Until:
		return r.Deaths, false, nil
	case now-max(r.At, r.Until) >= quarantinePeriod:
		return knownDeaths, true, nil
	case row.State == stateRunning:
		return max(r.Deaths, knownDeaths) + 1, true, nil
	}
	return max(r.Deaths, knownDeaths), true, nil
}

// Isolate returns a permit for a suspect, or the error to return to its caller.
func (g *Guard) Isolate(ctx context.Context, r *Register, f Fingerprint, until clock.Millis) (*Permit, error) {
	p, err := g.Acquire(ctx, f, r.Deaths(f), until)
	switch {
	case err == nil:
		return p, nil
	case errors.Is(err, ErrRejected):
		return nil, Rejected()
	case ctx.Err() != nil:
		return nil, err
	}
	return nil, unavailable(err)
}
