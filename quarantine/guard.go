package quarantine

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

const (
	stateRunning = "running"
	stateIdle    = "idle"

	// rejectedFrom is the number of engine deaths from which a request is rejected.
	rejectedFrom = 2

	guardPoll = 200 * clock.Millis(1)
	// guardMargin covers the difference between the clocks of two instances, assumed below 0.5 s.
	guardMargin = 2 * clock.Second
)

// ErrRejected says that the request has crashed two engines.
var ErrRejected = errors.New("the request has crashed two engines")

// Guard lets only one copy of a suspect run at a time in the whole fleet, by a row of the table. Suspects are rare, so
// this costs few writes; without the table no suspect runs.
type Guard struct {
	get   func(ctx context.Context, key string) (table.Row, bool, error)
	put   func(ctx context.Context, row table.Row, condition table.Condition) error
	clock *clock.Clock
}

// NewGuard returns a guard that reads and writes rows with the contracts of table.Table.
func NewGuard(
	c *clock.Clock,
	get func(ctx context.Context, key string) (table.Row, bool, error),
	put func(ctx context.Context, row table.Row, condition table.Condition) error,
) *Guard {
	return &Guard{get: get, put: put, clock: c}
}

// guardRecord is the body of a suspect's row.
type guardRecord struct {
	Deaths int `json:"deaths"`
	// Until is the time after which a holder that reported nothing counts as having crashed an engine.
	Until clock.Millis `json:"until-ms"`
	At    clock.Millis `json:"at-ms"`
}

// Permit allows its holder to run a suspect until the time limit that it named.
type Permit struct {
	guard  *Guard
	key    string
	row    table.Row
	deaths int
}

// Acquire waits until no other copy of the suspect runs and returns a permit that lasts until the given time. Known is
// the number of deaths that this instance knows of. The error is ErrRejected, the context's, or the table's.
func (g *Guard) Acquire(ctx context.Context, f Fingerprint, known int, until clock.Millis) (*Permit, error) {
	for {
		p, deaths, err := g.try(ctx, "suspect/"+f.String(), known, until)
		switch {
		case err != nil:
			return nil, err
		case p != nil:
			return p, nil
		case deaths >= rejectedFrom:
			return nil, ErrRejected
		}
		if err := g.clock.Sleep(ctx, guardPoll); err != nil {
			return nil, err
		}
	}
}

// Engine returns a permit for the only suspect that may run on an engine, or nil while another one does. If two ran
// together, the death of the engine would not tell which one is the culprit.
func (g *Guard) Engine(ctx context.Context, u poplarwinch.UpstreamID, until clock.Millis) (*Permit, error) {
	p, _, err := g.try(ctx, "isolation/"+string(u), 0, until)
	if err != nil {
		return nil, unavailable(err)
	}
	return p, nil
}

// try takes the row if it is free. Without a permit it returns the deaths in the row.
func (g *Guard) try(ctx context.Context, key string, known int, until clock.Millis) (p *Permit, deaths int, err error) {
	row, exists, err := g.get(ctx, key)
	if err != nil {
		return nil, 0, fmt.Errorf("read the suspect's row: %w", err)
	}
	deaths, free, err := g.judge(row, exists, known)
	if err != nil || !free || known > 0 && deaths >= rejectedFrom {
		return nil, deaths, err
	}
	condition := table.Absent()
	if exists {
		condition = table.StateIs(row.State, row.Attempt)
	}
	p = &Permit{guard: g, key: key, deaths: deaths}
	held, err := p.take(ctx, condition, until+guardMargin)
	if err != nil || !held {
		return nil, 0, err
	}
	return p, deaths, nil
}

// judge returns the suspect's deaths and whether no copy of it is running.
func (g *Guard) judge(row table.Row, exists bool, known int) (deaths int, free bool, err error) {
	if !exists {
		return known, true, nil
	}
	var r guardRecord
	if err := json.Unmarshal(row.Body, &r); err != nil {
		return 0, false, fmt.Errorf("read the suspect's row: %w", err)
	}
	now := g.clock.Now()
	switch {
	case row.State == stateRunning && now <= r.Until:
		return r.Deaths, false, nil
	case now-max(r.At, r.Until) >= suspicion:
		return known, true, nil
	case row.State == stateRunning:
		return max(r.Deaths, known) + 1, true, nil
	}
	return max(r.Deaths, known), true, nil
}

// take writes the row; it reports false when another instance was faster.
func (p *Permit) take(ctx context.Context, condition table.Condition, until clock.Millis) (bool, error) {
	now := p.guard.clock.Now()
	p.row = p.newRow(stateRunning, guardRecord{Deaths: p.deaths, Until: until, At: now})
	err := p.guard.put(ctx, p.row, condition)
	var uncertain *table.UncertainError
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, table.ErrConditionFailed):
		return false, nil
	case !errors.As(err, &uncertain):
		return false, fmt.Errorf("write the suspect's row: %w", err)
	}
	// A write that takes effect later than this read blocks other copies until its time limit, which is safe.
	row, exists, err := p.guard.get(ctx, p.key)
	if err != nil {
		return false, fmt.Errorf("read the suspect's row: %w", err)
	}
	return exists && row.Attempt == p.row.Attempt, nil
}

// Release records the end of the run. If the row can't be written, the run counts as a crash after its time limit.
func (p *Permit) Release(ctx context.Context, died bool) error {
	deaths := p.deaths
	if died {
		deaths++
	}
	row := p.newRow(stateIdle, guardRecord{Deaths: deaths, At: p.guard.clock.Now()})
	for {
		err := p.guard.put(ctx, row, table.StateIs(stateRunning, p.row.Attempt))
		if err == nil || errors.Is(err, table.ErrConditionFailed) {
			return nil
		}
		if p.guard.clock.Sleep(ctx, guardPoll) != nil {
			return fmt.Errorf("write the suspect's row: %w", err)
		}
	}
}

func (p *Permit) newRow(state string, r guardRecord) table.Row {
	body, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("suspect's row can't be encoded: %v", err))
	}
	return table.Row{Key: p.key, Version: 1, State: state, Attempt: rand.Text(), Body: body}
}

// unavailable is the error for a suspect that may not run because the table can't be reached.
func unavailable(cause error) *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: clock.Second, Cause: cause,
		Message: "the prompt ran on an engine that died and may run again only when no copy of it is running",
		Remedy:  "retry later",
	}
}

// Isolate returns a permit for a suspect, or the error that its caller receives.
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

// Rejected is the error for a request that has crashed two engines.
func Rejected() *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindQuarantined, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: suspicion,
		Message: "this request has crashed two engines", Remedy: "change the request, or ask the operators to look at the engines' logs",
	}
}
