package replica

import (
	"context"
	"errors"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Run follows the source until ctx ends, except while SetFollowing has turned that off.
func (r *Replica) Run(ctx context.Context) {
	failures, losses := backoff{limit: maxRetryDelay}, backoff{limit: maxLossDelay}
	mode := readWhole
	var confirmAt clock.Millis
	for r.awaitFollow(ctx) {
		batch, err := r.next(ctx, mode, confirmAt)
		if err == nil {
			err = r.applyFromSource(batch, mode)
		}
		switch {
		case err == nil:
			r.recordRecovery()
			failures.reset()
			confirmAt = r.confirmAt(confirmAt, mode)
			if mode == readChanges {
				losses.reset()
			}
			if mode == readChanges && len(batch.Rows) > 0 {
				_ = r.clock.Sleep(ctx, changesPause) // Run ends with ctx
			}
			mode = readChanges
		case errors.Is(err, errRechecked):
			r.log.WithField("table", r.name).Debug("rechecked; asking for the changes again")
			if r.isInEarlierEra() {
				mode = readWhole
			}
		case errors.Is(err, errConfirmDue):
			mode = confirmMissing
		case errors.Is(err, errOlderSource):
			r.log.WithField("table", r.name).WithField("era", batch.Era).WithField("version", batch.Version).Info("older state of the source ignored")
			losses.wait(ctx, r.clock)
			mode = readChanges
		case errors.Is(err, ErrHistoryLost):
			r.log.WithField("table", r.name).WithError(err).Warn("history lost; reading the whole table")
			losses.waitUnlessFirst(ctx, r.clock)
			mode = readWhole
		default:
			if ctx.Err() != nil {
				return
			}
			r.recordFailure(err)
			failures.wait(ctx, r.clock)
			mode = readWhole
		}
	}
}

// awaitFollow waits until the source is to be followed. It returns false when ctx has ended.
func (r *Replica) awaitFollow(ctx context.Context) bool {
	for ctx.Err() == nil {
		if r.Following() {
			return true
		}
		r.installHeld()
		due, stop := r.clock.After(r.untilHeldIsDue())
		select {
		case <-ctx.Done():
		case <-r.recheck:
		case <-due:
		}
		stop()
	}
	return false
}

// readMode says what is read from the source next.
type readMode string

const (
	// readWhole reads the whole table after a failure or a loss of history. Rows that are missing may reappear.
	readWhole readMode = "whole"
	// readChanges waits for changes.
	readChanges readMode = "changes"
	// confirmMissing reads the whole table while changes are followed, to see whether missing rows reappeared. Rows that were there
	// after the failure did not expire during it: if they are missing now, they are gone.
	confirmMissing readMode = "confirm"
	// fromPeer marks a batch that another instance has read.
	fromPeer readMode = "peer"
)

// next reads the whole table or waits for changes. Recheck ends the wait, and so does confirmAt, unless it is zero.
func (r *Replica) next(ctx context.Context, mode readMode, confirmAt clock.Millis) (Batch, error) {
	if mode != readChanges {
		return r.read(ctx)
	}
	position, _ := r.Position()
	wait, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	go r.endWait(stop, confirmAt, cancel)
	batch, err := r.changes(wait, position.Version)
	cause := context.Cause(wait)
	switch {
	case err != nil && (errors.Is(cause, errRechecked) || errors.Is(cause, errConfirmDue)):
		return Batch{}, cause
	case err == nil && batch.Era > position.Era:
		return Batch{}, errRestored // the changes are those after a version of another era
	}
	return batch, err
}

// endWait cancels a wait for changes after Recheck or at confirmAt, unless stop is closed before.
func (r *Replica) endWait(stop <-chan struct{}, confirmAt clock.Millis, cancel context.CancelCauseFunc) {
	var due <-chan struct{}
	if confirmAt != 0 {
		timer, end := r.clock.After(max(confirmAt-r.clock.Now(), 0))
		defer end()
		due = timer
	}
	select {
	case <-stop:
	case <-due:
		cancel(errConfirmDue)
	case <-r.recheck:
		cancel(errRechecked)
	}
}

// applyFromSource applies a batch from the source, unless it is older than the replica or has changes of another era.
func (r *Replica) applyFromSource(batch Batch, mode readMode) error {
	r.mutex.Lock()
	era, loaded := r.era, r.loaded
	switch {
	case !loaded:
	case batch.Era < era || batch.Era == era && batch.Version < r.version:
		r.mutex.Unlock()
		return errOlderSource
	}
	changed := r.apply(batch, mode)
	r.mutex.Unlock()
	r.notify(changed)
	if !loaded || batch.Era != era {
		r.onEra(batch.Era)
	}
	return nil
}

func (r *Replica) recordFailure(err error) {
	r.mutex.Lock()
	wasFailing := r.failing
	r.failing, r.failedAt = true, r.clock.Now()
	r.mutex.Unlock()
	if !wasFailing {
		r.log.WithField("table", r.name).WithError(err).Warn("dependency lost: the table can't be read")
	}
}

func (r *Replica) recordRecovery() {
	r.mutex.Lock()
	wasFailing := r.failing
	r.failing = false
	r.mutex.Unlock()
	if wasFailing {
		r.log.WithField("table", r.name).Info("dependency regained: the table is read again")
	}
}
