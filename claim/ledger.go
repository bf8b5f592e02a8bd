// Package claim records non-repeatable calls in the table so that each runs at most once.
package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// The states of a claim row.
const (
	// stateSending means that the call may be sent or has been sent, and that no answer has been recorded.
	stateSending = "sending"
	// stateDone means that the call ran and its answer is recorded.
	stateDone = "done"
	// stateClosed means that the attempt did not run the call; another attempt may claim it.
	stateClosed = "closed"
)

const (
	// maxInlineBytes is the maximum size of an encoded answer that is stored in the row; larger ones are stored as
	// objects. It keeps rows well below the table's limit of 400 KB; base64 adds a third to the body.
	maxInlineBytes = 64 << 10
	// maxPendingJobs is the number of pending writes from which new calls are rejected. It limits the memory used in a
	// long outage of the table: a job without an answer takes about 1 KB.
	maxPendingJobs = 10_000
	// maxPendingBytes is the total size of pending writes from which new calls are rejected, for the same reason.
	maxPendingBytes = 32 << 20
)

// Ledger claims calls and records their answers. It does all its I/O through the functions of WithTable and
// WithObjects.
type Ledger struct {
	clock       *clock.Clock
	log         log.Interface
	get         func(ctx context.Context, key string) (table.Row, bool, error)
	put         func(ctx context.Context, row table.Row, condition table.Condition) error
	getObject   func(ctx context.Context, key string) ([]byte, error)
	putObject   func(ctx context.Context, key string, data []byte) error
	timeLimit   func() clock.Millis
	onViolation func(error)
	attemptID   func() string
	queue       *queue
	// recent writes claims again that a restore of the table has removed.
	recent *table.Recent

	// takeOverSending and trustUncertainPut disable safeguards; only TestCheckerDetects sets them.
	takeOverSending   bool
	trustUncertainPut bool
}

// New returns a ledger. WithTable and WithObjects are required.
func New(opts ...Option) *Ledger {
	l := &Ledger{
		clock: clock.System(), log: log.Log, attemptID: rand.Text,
		timeLimit:   func() clock.Millis { return 10 * clock.Minute },
		onViolation: func(error) {},
	}
	for _, o := range opts {
		o(l)
	}
	l.queue = newQueue(l.clock)
	l.recent = table.NewRecent(l.clock, l.get, l.put)
	return l
}

// Pending returns the number of writes that are still to be retried in the background. An instance that shuts down
// waits for zero for a limited time, because later repeats of the calls concerned would get the outcome unknown.
func (l *Ledger) Pending() int { return int(l.queue.jobs.Load()) }

// Run retries uncertain writes, and repeats those that a restore of the table has removed, until ctx ends and returns ctx's
// error.
func (l *Ledger) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { _ = l.recent.Run(ctx) }) // returns ctx's error too
	err := l.queue.run(ctx)
	group.Wait()
	return err
}

// Begin claims a call. It returns a ticket if the caller may send the call now, the recorded answer if the call has
// run, or an error of type *poplarwinch.Error. It waits until the call's deadline for another attempt with the same
// key.
func (l *Ledger) Begin(ctx context.Context, call Call) (*Ticket, *Recorded, error) {
	if err := call.validate(); err != nil {
		return nil, nil, invalid(err)
	}
	if l.queue.full() {
		return nil, nil, unavailable(errors.New("too many uncertain writes of earlier calls are pending"))
	}
	if err := l.recent.Restore(ctx, call.row()); err != nil {
		return nil, nil, unavailable(err)
	}
	var poll backoff
	var seen *seenClaim
	condition, claimable := table.Absent(), true
	for {
		if claimable {
			a := l.newAttempt(call, condition)
			switch held, abandoned, err := l.claim(ctx, a); {
			case err != nil:
				return nil, nil, err
			case held:
				t, err := l.issue(ctx, a)
				return t, nil, err
			case abandoned:
				return nil, nil, unavailable(errors.New("the table did not confirm the claim"))
			}
		}
		row, exists, err := l.get(ctx, call.row())
		if err != nil {
			return nil, nil, unavailable(err)
		}
		if lost, condition := seen.lost(row, exists); lost {
			if err := l.put(ctx, seen.row, condition); err != nil && !errors.Is(err, table.ErrConditionFailed) {
				return nil, nil, inProgress(minPollDelay)
			}
			continue
		}
		if !exists {
			condition, claimable = table.Absent(), true
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
			condition, claimable = table.StateIs(row.State, row.Attempt), true
			continue
		case r.Outcome != "" || l.clock.Now()-r.Started > l.timeLimit():
			return nil, nil, unknownOutcome()
		}
		// A row in the state sending is never taken over: its writer may be paused and send the call later.
		claimable, seen = false, &seenClaim{row: row, started: r.Started}
		wait := poll.next(minPollDelay, maxPollDelay)
		if l.clock.Now()+wait > call.Deadline || l.clock.Sleep(ctx, wait) != nil {
			return nil, nil, inProgress(wait)
		}
	}
}

// seenClaim is a claim in the state sending of another attempt that a repeat has seen.
type seenClaim struct {
	row     table.Row
	started clock.Millis
}

// lost reports whether a restore of the table has removed the claim, and returns the condition under which its row may be written
// again. A later attempt may only have closed the call or claimed it after that.
func (s *seenClaim) lost(current table.Row, exists bool) (bool, table.Condition) {
	if s == nil {
		return false, table.Condition{}
	}
	if !exists {
		return true, table.Absent()
	}
	r, err := parseRecord(current)
	return err == nil && r.Started < s.started, table.StateIs(current.State, current.Attempt)
}

// claim writes the attempt's row. If the reply is lost, it reads the row and, unless the attempt holds the claim,
// prevents the write from taking effect later. The result abandoned means that the attempt never sends the call;
// neither held nor abandoned means that the condition failed, as another attempt has written the row.
func (l *Ledger) claim(ctx context.Context, a *attempt) (held, abandoned bool, err error) {
	written := a.sendingRow()
	err = l.put(ctx, written, a.condition)
	var withoutEffect *table.UnavailableError
	switch {
	case err == nil:
		a.confirmed = &written
		return true, false, nil
	case errors.Is(err, table.ErrConditionFailed):
		return false, false, nil
	case errors.As(err, &withoutEffect):
		return false, true, unavailable(err)
	}
	if l.trustUncertainPut {
		return true, false, nil
	}
	// The end of the caller's context may have caused the loss of the reply; the claim must be resolved nevertheless.
	ctx = context.WithoutCancel(ctx)
	row, exists, err := l.get(ctx, a.key)
	switch {
	case err != nil:
		l.queue.add(&job{write: a.close, bytes: a.size()})
		return false, true, nil
	case exists && row.Attempt == a.id && row.State == stateSending:
		a.confirmed = &row
		return true, false, nil
	case !a.condition.Holds(row, exists):
		return false, false, nil
	}
	if a.putClosed(ctx, a.condition) != nil {
		l.queue.add(&job{write: a.close, bytes: a.size()})
	}
	return false, true, nil
}

// issue returns the ticket of an attempt that holds the claim, or closes the claim if the deadline has passed.
func (l *Ledger) issue(ctx context.Context, a *attempt) (*Ticket, error) {
	if err := a.verifyClaim(); err != nil {
		l.reportViolation(err)
		return nil, unverified(err)
	}
	l.recent.Add(*a.confirmed, a.judge(*a.confirmed))
	t := &Ticket{ledger: l, attempt: a}
	if ctx.Err() != nil || l.clock.Now() > a.call.Deadline {
		if err := t.NotRun(context.WithoutCancel(ctx)); err != nil {
			l.log.WithError(err).WithField("attempt", a.id).Warn("claim row not closed yet; the write is retried in the background")
		}
		return nil, deadlineExceeded()
	}
	return t, nil
}

// reportViolation logs and reports the violation of an invariant.
func (l *Ledger) reportViolation(err error) {
	l.log.WithError(err).Error("claim invariant broken")
	l.onViolation(err)
}
