package replica

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
)

// ErrHistoryLost is returned by a source that no longer has the changes after the requested version.
var ErrHistoryLost = errors.New("history is no longer available")

var (
	// errRechecked ends a wait for changes after Recheck.
	errRechecked = errors.New("rechecked")
	// errConfirmDue ends a wait for changes when the missing rows are to be looked for.
	errConfirmDue = errors.New("missing rows are to be looked for")
)

const (
	// minRetryDelay is the delay after the first failed read; it doubles with each further one.
	minRetryDelay clock.Millis = 100
	// maxRetryDelay bounds the delay after a failed read.
	maxRetryDelay clock.Millis = 400
	// changesPause is the pause after a change before further ones are asked for, so that those of one moment arrive together.
	changesPause clock.Millis = 150
	// failureRetention is the time for which an instance that no longer follows the source still counts as failing. Without it,
	// all instances would take turns trying to follow a source that is down.
	failureRetention = 3 * clock.Second
	// missingRowGrace is the time after a row is first missing from a snapshot in which it may come back before it is removed.
	// Rows that expired during an outage of the source are renewed within that time.
	missingRowGrace clock.Millis = 2200
)

// Replica is a copy of one table. It is safe for concurrent use.
type Replica struct {
	name        string
	read        func(ctx context.Context) (Batch, error)
	changes     func(ctx context.Context, after Version) (Batch, error)
	changed     func(rows []Row)
	keepMissing bool
	clock       *clock.Clock
	log         log.Interface

	// notifyMutex is held while rows are passed to changed, so that older rows never replace newer ones.
	notifyMutex sync.Mutex

	mutex   sync.Mutex
	rows    map[string]Row
	version Version
	// contentVersion is the largest version of a row that was seen.
	contentVersion Version
	loaded         bool
	// failing is set if the last read of the source failed.
	failing bool
	// failedAt is the time of the last failed read.
	failedAt clock.Millis
	// deleted has the tombstones of rows that were removed after historyStart.
	deleted map[string]Row
	// historyStart is the first version since which all changes, including removals, are known.
	historyStart Version
	// passive is set if the source is not followed and changes come from other instances.
	passive bool
	// missingSince has the time at which a row that is still kept was first missing from a snapshot.
	missingSince map[string]clock.Millis
	// recheck ends a wait for changes or for SetFollowing.
	recheck chan struct{}
}

// New returns an empty replica of the named table; WithSource is required.
func New(name string, opts ...Option) *Replica {
	r := &Replica{
		name: name, clock: clock.Monotonic(), log: log.Log, changed: func([]Row) {},
		rows: map[string]Row{}, missingSince: map[string]clock.Millis{}, deleted: map[string]Row{}, recheck: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Version returns the source's version up to which changes are known, and whether the table was ever loaded.
func (r *Replica) Version() (Version, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.version, r.loaded
}

// ContentVersion returns the version of the latest known change of a row, and whether the table was ever loaded.
func (r *Replica) ContentVersion() (Version, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.contentVersion, r.loaded
}

// Failing reports whether this instance can't read the source, as of its last attempt. A failure is forgotten some time after
// the instance stopped following the source.
func (r *Replica) Failing() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.failing && !(r.passive && r.clock.Now()-r.failedAt >= failureRetention)
}

// Since returns the changes after a version, or all rows if the version is zero or precedes the known changes.
func (r *Replica) Since(after Version) Batch {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	batch := Batch{Version: r.version, Complete: after == 0 || after < r.historyStart}
	for _, row := range r.list() {
		if batch.Complete || row.Version > after {
			batch.Rows = append(batch.Rows, row)
		}
	}
	for _, row := range r.deleted {
		if !batch.Complete && row.Version > after {
			batch.Rows = append(batch.Rows, row)
		}
	}
	return batch
}

// SetFollowing sets whether Run follows the source. Otherwise changes come from other instances, by Merge.
func (r *Replica) SetFollowing(on bool) {
	r.mutex.Lock()
	wasFollowing := !r.passive
	r.passive = !on
	r.mutex.Unlock()
	if on && !wasFollowing {
		r.Recheck()
	}
}

// Following reports whether the source is followed.
func (r *Replica) Following() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.passive
}

// Merge applies rows that another instance read from the same source: all of them, or the changes after a version that this
// replica had. A batch that is not newer than the replica is ignored, and so are changes before the replica is
// loaded.
func (r *Replica) Merge(batch Batch) {
	r.mutex.Lock()
	if r.loaded && batch.Version <= r.version || !r.loaded && !batch.Complete {
		r.mutex.Unlock()
		return
	}
	changed := r.apply(batch, fromPeer)
	r.mutex.Unlock()
	r.notify(changed)
}

// Recheck ends the current wait for changes. It is called when another instance knows a newer version, because the connection
// to the source may be unresponsive.
func (r *Replica) Recheck() {
	select {
	case r.recheck <- struct{}{}:
	default:
	}
}

// Run follows the source until ctx ends, except while SetFollowing has turned that off.
func (r *Replica) Run(ctx context.Context) {
	pause := minRetryDelay
	mode := readWhole
	var confirmAt clock.Millis
	for r.awaitFollow(ctx) {
		batch, err := r.next(ctx, mode, confirmAt)
		switch {
		case err == nil:
			r.recordRecovery()
			pause = minRetryDelay
			pending := r.applyFromSource(batch, mode)
			switch {
			case !pending:
				confirmAt = 0
			case mode != readChanges:
				confirmAt = r.clock.Now() + missingRowGrace/2
			}
			if mode == readChanges && len(batch.Rows) > 0 {
				_ = r.clock.Sleep(ctx, changesPause) // Run ends with ctx
			}
			mode = readChanges
		case errors.Is(err, errRechecked):
			r.log.WithField("table", r.name).Debug("rechecked; asking for the changes again")
		case errors.Is(err, errConfirmDue):
			mode = confirmMissing
		case errors.Is(err, ErrHistoryLost):
			r.log.WithField("table", r.name).Warn("history lost; reading the whole table")
			mode = readWhole
		default:
			if ctx.Err() != nil {
				return
			}
			r.recordFailure(err)
			_ = r.clock.Sleep(ctx, pause)
			pause = min(2*pause, maxRetryDelay)
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
		select {
		case <-ctx.Done():
		case <-r.recheck:
		}
	}
	return false
}

// readMode says what is read from the source next.
type readMode string

const (
	// readWhole reads the whole table after a failure or a loss of history. Rows that are missing may come back.
	readWhole readMode = "whole"
	// readChanges waits for changes.
	readChanges readMode = "changes"
	// confirmMissing reads the whole table while changes are followed, to see whether missing rows came back. Rows that were there
	// after the failure did not expire during it: if they are missing now, they are gone.
	confirmMissing readMode = "confirm"
	// fromPeer marks a batch that another instance has read and that has no missing rows which may come back.
	fromPeer readMode = "peer"
)

// next reads the whole table or waits for changes. Recheck ends the wait, and so does confirmAt, unless it is zero.
func (r *Replica) next(ctx context.Context, mode readMode, confirmAt clock.Millis) (Batch, error) {
	if mode != readChanges {
		return r.read(ctx)
	}
	version, _ := r.Version()
	wait, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	go r.endWait(stop, confirmAt, cancel)
	batch, err := r.changes(wait, version)
	if cause := context.Cause(wait); err != nil && (errors.Is(cause, errRechecked) || errors.Is(cause, errConfirmDue)) {
		return Batch{}, cause
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

// applyFromSource applies a batch from the source. It reports whether rows are missing that may come back.
func (r *Replica) applyFromSource(batch Batch, mode readMode) (pending bool) {
	r.mutex.Lock()
	changed := r.apply(batch, mode)
	pending = len(r.missingSince) > 0
	r.mutex.Unlock()
	r.notify(changed)
	return pending
}

// apply merges a batch that was read in a mode and reports whether a row changed. Rows that are missing from a complete batch stay
// for a grace period if they may come back.
func (r *Replica) apply(batch Batch, mode readMode) bool {
	changed := !r.loaded
	seen := make(map[string]bool, len(batch.Rows))
	for _, row := range batch.Rows {
		seen[row.Key] = true
		r.contentVersion = max(r.contentVersion, row.Version)
		delete(r.missingSince, row.Key)
		old, known := r.rows[row.Key]
		switch {
		case known && old.Version > row.Version:
		case row.Deleted:
			changed = changed || known
			delete(r.rows, row.Key)
			r.deleted[row.Key] = row
		case !known || old.Version < row.Version:
			changed = true
			r.rows[row.Key] = row
			delete(r.deleted, row.Key)
		}
	}
	if batch.Complete {
		changed = r.removeMissing(seen, mode, batch.Version) || changed
	}
	r.version = max(r.version, batch.Version)
	r.loaded = true
	return changed
}

// removeMissing removes the rows that are missing from a complete batch, after a grace period if they may come back.
// The version at which a row was removed is not known, so its tombstone gets the version of the batch.
func (r *Replica) removeMissing(seen map[string]bool, mode readMode, version Version) bool {
	now := r.clock.Now()
	removed := !r.loaded
	if !r.loaded {
		r.historyStart = version
	}
	for key := range r.rows {
		if seen[key] {
			continue
		}
		since, missing := r.missingSince[key]
		switch {
		case !r.keepMissing || mode == fromPeer:
		case !missing && mode == readWhole:
			r.missingSince[key] = now
			continue
		case missing && now-since < missingRowGrace:
			continue
		}
		delete(r.missingSince, key)
		delete(r.rows, key)
		r.deleted[key] = Row{Key: key, Version: version, Deleted: true}
		r.contentVersion = max(r.contentVersion, version)
		removed = true
	}
	return removed
}

func (r *Replica) notify(changed bool) {
	if !changed {
		return
	}
	r.notifyMutex.Lock()
	defer r.notifyMutex.Unlock()
	r.mutex.Lock()
	rows := r.list()
	r.mutex.Unlock()
	r.changed(rows)
}

func (r *Replica) list() []Row {
	rows := make([]Row, 0, len(r.rows))
	for _, row := range r.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows
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
