package claim

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// attempt is one attempt to claim a call. Its id is unique, and it writes the state sending at most once.
type attempt struct {
	ledger  *Ledger
	call    Call
	id      string
	key     string
	started clock.Millis
	// condition is the condition of the write of the state sending.
	condition table.Condition
	// confirmed is the row in the state sending, once a reply or a read has confirmed that its write took effect; else
	// nil.
	confirmed *table.Row
	// reported is set once a violation has been reported.
	reported atomic.Bool
}

func (l *Ledger) newAttempt(call Call, condition table.Condition) *attempt {
	return &attempt{
		ledger: l, call: call, id: l.attemptID(), key: call.row(), started: l.clock.Now(), condition: condition,
	}
}

func (a *attempt) row(state string, r record) table.Row {
	r.Fingerprint, r.Started = a.call.Fingerprint, a.started
	return table.Row{Key: a.key, Attempt: a.id, State: state, Version: 1, Body: r.encode()}
}

func (a *attempt) sendingRow() table.Row { return a.row(stateSending, record{}) }

func (a *attempt) closedRow() table.Row { return a.row(stateClosed, record{}) }

func (a *attempt) size() int { return len(a.key) + len(a.call.Fingerprint) }

// verifyClaim checks the invariant that makes a call run at most once: a call is sent only if this attempt's own write
// of the state sending took effect.
func (a *attempt) verifyClaim() error {
	if a.confirmed == nil {
		return fmt.Errorf("attempt %s has no confirmed write of the state sending", a.id)
	}
	if r := a.confirmed; r.Key != a.key || r.Attempt != a.id || r.State != stateSending {
		return fmt.Errorf("attempt %s was confirmed by a row of attempt %s in the state %s", a.id, r.Attempt, r.State)
	}
	return nil
}

// close ensures that an attempt that never sends doesn't leave its row in the state sending.
func (a *attempt) close(ctx context.Context) error {
	row, exists, err := a.ledger.get(ctx, a.key)
	if err != nil {
		return err
	}
	switch {
	case exists && row.Attempt == a.id && row.State == stateSending:
		return a.putClosed(ctx, table.StateIs(stateSending, a.id))
	case a.condition.Holds(row, exists):
		// The write of the state sending may still take effect. This write makes its condition fail.
		return a.putClosed(ctx, a.condition)
	case exists && row.Attempt == a.id:
		a.ledger.recent.Add(row, a.judge(row))
	}
	// Rows are never deleted and attempt ids are unique, so the condition of the earlier write can't hold again.
	return nil
}

// putClosed writes the row of an attempt that never sends.
func (a *attempt) putClosed(ctx context.Context, condition table.Condition) error {
	err := a.ledger.put(ctx, a.closedRow(), condition)
	if err == nil {
		a.ledger.recent.Add(a.closedRow(), a.judge(a.closedRow()))
	}
	return err
}

// finish replaces the attempt's row in the state sending by target. It is idempotent.
func (a *attempt) finish(ctx context.Context, target table.Row) error {
	if target.State == stateClosed {
		// From the effect of this write on, another attempt may replace the row.
		a.ledger.recent.Forget(a.key)
	}
	err := a.replaceSending(ctx, target)
	if err == nil {
		a.ledger.recent.Add(target, a.judge(target))
	}
	return err
}

// replaceSending writes target over the attempt's row in the state sending, or over the older row that a restore of the table has
// brought back.
func (a *attempt) replaceSending(ctx context.Context, target table.Row) error {
	err := a.ledger.put(ctx, target, table.StateIs(stateSending, a.id))
	if !errors.Is(err, table.ErrConditionFailed) {
		return err
	}
	row, exists, err := a.ledger.get(ctx, a.key)
	switch {
	case err != nil:
		return err
	case !exists:
		return a.ledger.put(ctx, target, table.Absent())
	case row.Attempt == a.id && !equal(row, target):
		return fmt.Errorf("claim row of this attempt is in the state %s", row.State)
	}
	if verdict, condition := a.judge(target)(row, exists); verdict == table.Lost {
		return a.ledger.put(ctx, target, condition)
	}
	return nil
}

// judge returns the judge of a row of this attempt that was written.
func (a *attempt) judge(written table.Row) table.Judge {
	return func(current table.Row, exists bool) (table.Verdict, table.Condition) {
		same := exists && current.Attempt == a.id
		switch {
		case same && equal(current, a.sendingRow()) && !equal(written, a.sendingRow()):
			return table.Lost, table.StateIs(stateSending, a.id)
		case same:
			return table.Present, table.Condition{}
		case !exists:
			return table.Lost, table.Absent()
		case a.startedAfter(current), current.State == stateClosed && written.State != stateClosed:
			return table.Lost, table.StateIs(current.State, current.Attempt)
		case written.State == stateClosed:
			return table.Replaced, table.Condition{}
		}
		a.reportSecondRun(current)
		// The other attempt may have given up before its write took effect, and then closes the row.
		return table.Conflict, table.Condition{}
	}
}

// reportSecondRun reports a violation if the row shows that another attempt sent the call too.
func (a *attempt) reportSecondRun(row table.Row) {
	if r, err := parseRecord(row); err == nil && r.Outcome == "" && row.State == stateSending || a.reported.Swap(true) {
		return
	}
	a.ledger.reportViolation(fmt.Errorf("claim row of attempt %s was replaced by attempt %s, which sent the call too", a.id, row.Attempt))
}

// startedAfter reports whether this attempt started after the one that wrote the row, which must have been closed then.
func (a *attempt) startedAfter(row table.Row) bool {
	r, err := parseRecord(row)
	return err == nil && r.Started < a.started
}

// equal reports whether two rows of an attempt have the same state and body.
func equal(a, b table.Row) bool { return a.State == b.State && bytes.Equal(a.Body, b.Body) }
