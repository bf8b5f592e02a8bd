package claim

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// attempt is one try to claim a call. Its id is unique, and it writes the state sending at most once.
type attempt struct {
	ledger  *Ledger
	call    Call
	id      string
	key     string
	started clock.Millis
	// condition is that of the write of the state sending.
	condition table.Condition
	// confirmed is the row that this attempt wrote, once the reply or a later read has shown that the write took effect.
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

func (a *attempt) sending() table.Row { return a.row(stateSending, record{}) }

func (a *attempt) closed() table.Row { return a.row(stateClosed, record{}) }

func (a *attempt) size() int { return len(a.key) + len(a.call.Fingerprint) }

// checkProof checks the invariant behind "at most once": only the own successful write of the state sending permits to
// send.
func (a *attempt) checkProof() error {
	if a.confirmed == nil {
		return fmt.Errorf("attempt %s has no proof that it holds the claim", a.id)
	}
	if r := a.confirmed; r.Key != a.key || r.Attempt != a.id || r.State != stateSending {
		return fmt.Errorf("attempt %s has a row of attempt %s in the state %s as proof", a.id, r.Attempt, r.State)
	}
	return nil
}

// close makes sure that an attempt which never sends does not leave the row in the state sending.
func (a *attempt) close(ctx context.Context) error {
	row, exists, err := a.ledger.get(ctx, a.key)
	if err != nil {
		return err
	}
	switch {
	case exists && row.Attempt == a.id && row.State == stateSending:
		return a.ledger.put(ctx, a.closed(), table.StateIs(stateSending, a.id))
	case a.condition.Holds(row, exists):
		// The write may still arrive. This one makes its condition fail.
		return a.ledger.put(ctx, a.closed(), a.condition)
	}
	// Rows are never deleted and attempt ids are unique, so the condition of the write cannot hold again.
	return nil
}

// finish replaces the attempt's row in the state sending. Repeats are harmless.
func (a *attempt) finish(ctx context.Context, target table.Row) error {
	err := a.ledger.put(ctx, target, table.StateIs(stateSending, a.id))
	if !errors.Is(err, table.ErrConditionFailed) {
		return err
	}
	row, exists, err := a.ledger.get(ctx, a.key)
	switch {
	case err != nil:
		return err
	case !exists:
		// The table was restored to an older state. The row protects the call from a second run again.
		return a.ledger.put(ctx, target, table.Absent())
	case row.Attempt == a.id && row.State == target.State && bytes.Equal(row.Body, target.Body):
		return nil
	case row.Attempt == a.id:
		return fmt.Errorf("own row is in the state %s", row.State)
	case target.State == stateClosed:
		// An earlier try closed the row, its reply was lost, and another attempt has superseded the row since.
		return nil
	}
	a.ledger.report(fmt.Errorf("row of attempt %s was replaced by attempt %s before it ended", a.id, row.Attempt))
	return nil
}
