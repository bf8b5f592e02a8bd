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

var errFinished = errors.New("the ticket has been finished already; finish each ticket once")

// Ticket permits to send a call once. Its holder finishes it with exactly one of Done, NotRun and Unknown. An error of
// these methods means that the write is repeated in the background; what the caller is told does not depend on it.
type Ticket struct {
	ledger   *Ledger
	attempt  *attempt
	finished atomic.Bool
}

// Done records the answer, which repeats of the call get.
func (t *Ticket) Done(ctx context.Context, answer Answer) error {
	w := wireAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	data := encode(w)
	if len(data) <= maxRecorded {
		return t.finish(ctx, t.attempt.row(stateDone, record{Answer: &w}), nil)
	}
	r := record{Object: "answers/" + t.attempt.id, Digest: digest(data)}
	return t.finish(ctx, t.attempt.row(stateDone, r), data)
}

// NotRun records that the call was not run, so that a repeat can run it. The holder must know that no byte of the call
// was sent, or that the upstream rejected it before running it.
func (t *Ticket) NotRun(ctx context.Context) error { return t.finish(ctx, t.attempt.closed(), nil) }

// Unknown records that the call may have run, so that repeats are told at once.
func (t *Ticket) Unknown(ctx context.Context) error {
	return t.finish(ctx, t.attempt.row(stateSending, record{Outcome: poplarwinch.OutcomeUnknown}), nil)
}

// finish writes the row, after the object if there is one.
func (t *Ticket) finish(ctx context.Context, target table.Row, object []byte) error {
	if t.finished.Swap(true) {
		return errFinished
	}
	stored := object == nil
	step := func(ctx context.Context) error {
		if !stored {
			// The key is unique, so an object that exists is the one of an earlier try.
			err := t.ledger.putObject(ctx, "answers/"+t.attempt.id, object)
			if err != nil && !errors.Is(err, objects.ErrExists) {
				return err
			}
			stored = true
		}
		return t.attempt.finish(ctx, target)
	}
	err := step(ctx)
	if err == nil {
		return nil
	}
	t.ledger.queue.add(&job{step: step, bytes: len(target.Key) + len(target.Body) + len(object)})
	return fmt.Errorf("claim is written later: %w", err)
}
