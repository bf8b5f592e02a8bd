package claim

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/objects"
	"github.com/poplarwinch/poplarwinch/table"
)

var errFinished = errors.New("ticket is finished already; call exactly one of Done, NotRun and Unknown, once")

// Ticket permits sending a call once. Its owner finishes it with exactly one of Done, NotRun and Unknown. An error of
// these methods means that the write is retried in the background; the answer to the caller doesn't depend on it.
type Ticket struct {
	ledger   *Ledger
	attempt  *attempt
	finished atomic.Bool
}

// Done records the answer, which is returned for repeats of the call.
func (t *Ticket) Done(ctx context.Context, answer Answer) error {
	w := storedAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	data := encode(w)
	if len(data) <= maxInlineBytes {
		return t.finish(ctx, t.attempt.row(stateDone, record{Answer: &w}), nil)
	}
	r := record{Object: "answers/" + t.attempt.id, Digest: digest(data)}
	return t.finish(ctx, t.attempt.row(stateDone, r), data)
}

// NotRun records that the call did not run, so that a repeat can run it. The owner must know that no byte of the call
// was sent, or that the upstream rejected the call before running it.
func (t *Ticket) NotRun(ctx context.Context) error { return t.finish(ctx, t.attempt.closedRow(), nil) }

// Unknown records that the call may have run, so that repeats get this outcome without waiting.
func (t *Ticket) Unknown(ctx context.Context) error {
	return t.finish(ctx, t.attempt.row(stateSending, record{Outcome: poplarwinch.OutcomeUnknown}), nil)
}

// finish writes the row, after the object if there is one, and retries in the background after an error.
func (t *Ticket) finish(ctx context.Context, target table.Row, object []byte) error {
	if t.finished.Swap(true) {
		return errFinished
	}
	stored := object == nil
	write := func(ctx context.Context) error {
		if !stored {
			// The key is unique, so an existing object is that of an earlier try.
			err := t.ledger.putObject(ctx, "answers/"+t.attempt.id, object)
			if err != nil && !errors.Is(err, objects.ErrExists) {
				return err
			}
			stored = true
		}
		return t.attempt.finish(ctx, target)
	}
	err := write(ctx)
	if err == nil {
		return nil
	}
	t.ledger.queue.add(&job{write: write, bytes: len(target.Key) + len(target.Body) + len(object)})
	return fmt.Errorf("claim row not written yet; the write is retried in the background: %w", err)
}
