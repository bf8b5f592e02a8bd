package quarantine

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// Permit allows its holder to run a suspect until the time limit that it passed.
type Permit struct {
	guard  *Guard
	key    string
	row    table.Row
	deaths int
	// replaced is the attempt of the row that the permit replaced, or empty if there was none.
	replaced string
}

// write writes the row in state running. It reports false if another instance wrote it first.
func (p *Permit) write(ctx context.Context, condition table.Condition, until clock.Millis) (bool, error) {
	now := p.guard.clock.Now()
	p.row = p.newRow(stateRunning, guardRecord{Deaths: p.deaths, Until: until, At: now})
	err := p.guard.put(ctx, p.row, condition)
	var uncertain *table.UncertainError
	switch {
	case err == nil:
		p.guard.recent.Add(p.row, judge(p.row, p.replaced))
		return true, nil
	case errors.Is(err, table.ErrConditionFailed):
		return false, nil
	case !errors.As(err, &uncertain):
		return false, fmt.Errorf("write the suspect's row: %w", err)
	}
	// If the write takes effect only after this read, it blocks other copies until its time limit, which is safe.
	row, exists, err := p.guard.get(ctx, p.key)
	if err != nil {
		return false, fmt.Errorf("read the suspect's row: %w", err)
	}
	held := exists && row.Attempt == p.row.Attempt
	if held {
		p.guard.recent.Add(p.row, judge(p.row, p.replaced))
	}
	return held, nil
}

// RunResult is the result of a suspect's run.
type RunResult string

// The results.
const (
	// RunCompleted means that the engine completed the answer, so that the deaths before were not the suspect's fault.
	RunCompleted RunResult = "completed"
	// RunCrashed means that the engine died.
	RunCrashed RunResult = "crashed"
	// RunEnded means that the run ended in another way, or did not begin.
	RunEnded RunResult = "ended"
)

// Release records the end of the run. If the row can't be written before ctx ends, the run counts as an engine death after its time
// limit.
func (p *Permit) Release(ctx context.Context, result RunResult) error {
	deaths := p.deaths
	switch result {
	case RunCrashed:
		deaths++
	case RunCompleted:
		deaths = 0
	}
	row := p.newRow(stateIdle, guardRecord{Deaths: deaths, At: p.guard.clock.Now()})
	for {
		done, err := p.tryRelease(ctx, row)
		if done {
			return nil
		}
		if p.guard.clock.Sleep(ctx, guardPollInterval) != nil {
			return fmt.Errorf("write the suspect's row: %w", err)
		}
	}
}

// tryRelease writes the row of the end of the run, also over the older row that a restore of the table may have brought back. It
// reports whether the row is in the table or another instance has replaced it.
func (p *Permit) tryRelease(ctx context.Context, row table.Row) (done bool, err error) {
	err = p.guard.put(ctx, row, table.StateIs(stateRunning, p.row.Attempt))
	if errors.Is(err, table.ErrConditionFailed) {
		current, exists, readErr := p.guard.get(ctx, p.key)
		if readErr != nil {
			return false, readErr
		}
		verdict, condition := judge(row, p.row.Attempt, p.replaced)(current, exists)
		if verdict != table.Lost {
			return true, nil
		}
		err = p.guard.put(ctx, row, condition)
	}
	if err == nil {
		p.guard.recent.Add(row, judge(row, p.row.Attempt, p.replaced))
	}
	return err == nil, err
}

// judge returns the judge of a row that was written. Older rows are known by the attempts that the write replaced, or by their times as
// far as clocks allow it.
func judge(written table.Row, replaced ...string) table.Judge {
	return func(current table.Row, exists bool) (table.Verdict, table.Condition) {
		switch {
		case !exists:
			return table.Lost, table.Absent()
		case current.Attempt == written.Attempt:
			return table.Present, table.Condition{}
		case slices.Contains(replaced, current.Attempt), rowTime(current) < rowTime(written)-clockSkewMargin:
			return table.Lost, table.StateIs(current.State, current.Attempt)
		}
		return table.Replaced, table.Condition{}
	}
}

// rowTime returns the time at which a row was written, or 0 if it is invalid.
func rowTime(row table.Row) clock.Millis {
	var r guardRecord
	if json.Unmarshal(row.Body, &r) != nil {
		return 0
	}
	return r.At
}

func (p *Permit) newRow(state string, r guardRecord) table.Row {
	body, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("suspect's row can't be encoded: %v", err))
	}
	return table.Row{Key: p.key, Version: 1, State: state, Attempt: rand.Text(), Body: body}
}
