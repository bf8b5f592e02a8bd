// Package claim records non-repeatable calls in the table, so that each runs at most once.
package claim

import (
	"context"
	"crypto/rand"
	"errors"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// States of rows.
const (
	stateSending = "sending"
	stateDone    = "done"
	stateClosed  = "closed"
)

const (
	// maxRecorded keeps rows well below the table's limit of 400 KB; base64 adds a third to the body.
	maxRecorded = 64 << 10
	// maxPendingJobs and maxPendingBytes bound the memory that a long outage of the table takes: new calls are
	// rejected beyond them. A job without an answer takes about 1 KB.
	maxPendingJobs  = 10_000
	maxPendingBytes = 32 << 20
)

// Ledger claims calls and records their answers. It does no I/O of its own.
type Ledger struct {
	clock     *clock.Clock
	log       log.Interface
	get       func(ctx context.Context, key string) (table.Row, bool, error)
	put       func(ctx context.Context, row table.Row, condition table.Condition) error
	getObject func(ctx context.Context, key string) ([]byte, error)
	putObject func(ctx context.Context, key string, data []byte) error
	timeLimit func() clock.Millis
	violation func(error)
	attemptID func() string
	queue     *queue

	// takeOverSending and trustUncertainPut break the mechanism; only tests of the tests set them.
	takeOverSending   bool
	trustUncertainPut bool
}

// New returns a ledger. WithTable and WithObjects are required.
func New(opts ...Option) *Ledger {
	l := &Ledger{
		clock: clock.System(), log: log.Log, attemptID: rand.Text,
		timeLimit: func() clock.Millis { return 10 * clock.Minute },
		violation: func(error) {},
	}
	for _, o := range opts {
		o(l)
	}
	l.queue = newQueue(l.clock)
	return l
}

// Pending returns the number of writes that are repeated in the background. An instance that shuts down waits for zero
// for a while, since later repeats of the calls concerned would get the outcome unknown.
func (l *Ledger) Pending() int { return int(l.queue.jobs.Load()) }

// Run repeats uncertain writes in the background until ctx ends.
func (l *Ledger) Run(ctx context.Context) error { return l.queue.run(ctx) }

// Begin claims a call. It returns a ticket if the caller may send the call now, a recorded answer if the call ran before,
// or an error of type *poplarwinch.Error. It waits until the call's deadline for another attempt with the same key.
func (l *Ledger) Begin(ctx context.Context, call Call) (*Ticket, *Recorded, error) {
	if err := call.check(); err != nil {
		return nil, nil, invalid(err)
	}
	if l.queue.full() {
		return nil, nil, unavailable(errors.New("too many uncertain writes of earlier calls are pending"))
	}
	var poll backoff
	condition, free := table.Absent(), true
	for {
		if free {
			a := l.newAttempt(call, condition)
			switch held, settled, err := l.claim(ctx, a); {
			case err != nil:
				return nil, nil, err
			case held:
				t, err := l.issue(ctx, a)
				return t, nil, err
			case settled:
				return nil, nil, unavailable(errors.New("the table did not confirm the claim"))
			}
		}
		row, exists, err := l.get(ctx, call.row())
		if err != nil {
			return nil, nil, unavailable(err)
		}
		if !exists {
			condition, free = table.Absent(), true
			continue
		}
		r, err := parseRecord(row)
		if err != nil {
			return nil, nil, unreadable(err)
		}
		switch {
		case r.Fingerprint != call.Fingerprint:
			return nil, nil, conflict()
		case row.State == stateDone:
			recorded, err := l.recorded(ctx, r)
			return nil, recorded, err
		case row.State == stateClosed, l.takeOverSending:
			condition, free = table.StateIs(row.State, row.Attempt), true
			continue
		case r.Outcome != "" || l.clock.Now()-r.Started > l.timeLimit():
			return nil, nil, unknown()
		}
		// A row in the state sending is never taken over: its writer may be paused and send later.
		free = false
		wait := poll.next(pollFirst, pollMax)
		if l.clock.Now()+wait > call.Deadline || l.clock.Sleep(ctx, wait) != nil {
			return nil, nil, inProgress(wait)
		}
	}
}

// claim writes the attempt's row. If the reply is lost, it reads the row and, unless the attempt holds the claim,
// prevents the write from taking effect later. Settled means that the attempt never sends; neither held nor settled
// means that another attempt has the row.
func (l *Ledger) claim(ctx context.Context, a *attempt) (held, settled bool, err error) {
	written := a.sending()
	err = l.put(ctx, written, a.condition)
	var without *table.UnavailableError
	switch {
	case err == nil:
		a.confirmed = &written
		return true, false, nil
	case errors.Is(err, table.ErrConditionFailed):
		return false, false, nil
	case errors.As(err, &without):
		return false, true, unavailable(err)
	}
	if l.trustUncertainPut {
		return true, false, nil
	}
	// The caller's context may have caused the loss of the reply, and the row must be settled nevertheless.
	ctx = context.WithoutCancel(ctx)
	row, exists, err := l.get(ctx, a.key)
	switch {
	case err != nil:
		l.queue.add(&job{step: a.close, bytes: a.size()})
		return false, true, nil
	case exists && row.Attempt == a.id && row.State == stateSending:
		a.confirmed = &row
		return true, false, nil
	case !a.condition.Holds(row, exists):
		return false, false, nil
	}
	if l.put(ctx, a.closed(), a.condition) != nil {
		l.queue.add(&job{step: a.close, bytes: a.size()})
	}
	return false, true, nil
}

// issue hands out the ticket of an attempt that holds the claim.
func (l *Ledger) issue(ctx context.Context, a *attempt) (*Ticket, error) {
	if err := a.checkProof(); err != nil {
		l.report(err)
		return nil, broken(err)
	}
	t := &Ticket{ledger: l, attempt: a}
	if ctx.Err() != nil || l.clock.Now() > a.call.Deadline {
		if err := t.NotRun(context.WithoutCancel(ctx)); err != nil {
			l.log.WithError(err).WithField("attempt", a.id).Warn("claim not closed yet")
		}
		return nil, late()
	}
	return t, nil
}

func (l *Ledger) report(err error) {
	l.log.WithError(err).Error("claim invariant broken")
	l.violation(err)
}
