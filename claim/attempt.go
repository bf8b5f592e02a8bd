package claim

import (
	"bytes"
	"context"
	"errors"
	"fmt"

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
		return a.ledger.put(ctx, a.closedRow(), table.StateIs(stateSending, a.id))
	case a.condition.Holds(row, exists):
		// The write of the state sending may still take effect. This write makes its condition fail.
		return a.ledger.put(ctx, a.closedRow(), a.condition)
	}
	// Rows are never deleted and attempt ids are unique, so the condition of the earlier write can't hold again.
	return nil
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

// replaceSending writes target over the attempt's row in the state sending.
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
		// The table was restored to an earlier state. Writing the row again prevents a second run of the call.
		return a.ledger.put(ctx, target, table.Absent())
	case row.Attempt == a.id && row.State == target.State && bytes.Equal(row.Body, target.Body):
		return nil
	case row.Attempt == a.id:
		return fmt.Errorf("claim row of this attempt is in the state %s", row.State)
	case target.State == stateClosed:
		// An earlier write closed the row but its reply was lost, and another attempt has replaced the row since.
		return nil
	case row.State == stateClosed:
		// The table was restored to an earlier state, that of an attempt which did not run the call.
		return a.ledger.put(ctx, target, table.StateIs(stateClosed, row.Attempt))
	}
	a.ledger.reportViolation(fmt.Errorf("claim row of attempt %s was replaced by attempt %s before the former had finished", a.id, row.Attempt))
	return nil
}

// judge returns the judge of a row of this attempt that was written.
func (a *attempt) judge(written table.Row) table.Judge {
	return func(current table.Row, exists bool) (table.Verdict, table.Condition) {
		same := exists && current.Attempt == a.id
		switch {
		case same && equal(current, a.sendingRow()) && !equal(written, a.sendingRow()):
			return table.Lost, table.StateIs(stateSending, a.id)
		case same, !exists && written.State == stateClosed:
			return table.Present, table.Condition{}
		case !exists:
			return table.Lost, table.Absent()
		case written.State == stateClosed:
			return table.Replaced, table.Condition{}
		case current.State == stateClosed:
			return table.Lost, table.StateIs(stateClosed, current.Attempt)
		}
		a.ledger.reportViolation(fmt.Errorf("claim row of attempt %s was replaced by attempt %s after a restore of the table", a.id, current.Attempt))
		return table.Replaced, table.Condition{}
	}
}

// equal reports whether two rows of an attempt have the same state and body.
func equal(a, b table.Row) bool { return a.State == b.State && bytes.Equal(a.Body, b.Body) }
