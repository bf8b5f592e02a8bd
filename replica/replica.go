package replica

import (
	"cmp"
	"context"
	"errors"
	"fmt"
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
	// errRestored says that changes are those of a restored source, of which the whole table has to be read.
	errRestored = fmt.Errorf("the source was restored from an older copy: %w", ErrHistoryLost)
	// errOlderSource says that a batch from the source is older than what is known, as from an answer that was delayed.
	errOlderSource = errors.New("the source returned an older state")
	// errConfirmDue ends a wait for changes when the missing rows are to be looked for.
	errConfirmDue = errors.New("missing rows are to be looked for")
)

const (
	// changesPause is the pause after a change before further ones are asked for, so that those of one moment arrive together.
	changesPause clock.Millis = 150
	// failureRetention is the time for which an instance that no longer follows the source still counts as failing. Without it,
	// all instances would take turns trying to follow a source that is down.
	failureRetention = 3 * clock.Second
	// removedRowGrace is the time for which a row that was removed in an earlier era is not taken from a restored source unless it is
	// written again. The source removes within it the rows of servers that are gone.
	removedRowGrace = 5 * clock.Second
	// removedRowRetention is the time for which removed rows are remembered. It exceeds the age of the copies from which a source
	// is restored.
	removedRowRetention = 60 * clock.Second
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
	supersedes  func(row, other Row) bool
	onEra       func(era Era)
	generation  func(rows []Row) int64
	identity    func(row Row) string
	keepMissing bool
	clock       *clock.Clock
	log         log.Interface

	// notifyMutex is held while rows are passed to changed, so that older rows never replace newer ones.
	notifyMutex sync.Mutex

	mutex sync.Mutex
	rows  map[string]Row
	// era is the era of all versions below.
	era     Era
	version Version
	// contentVersion is the largest version of a row that was seen.
	contentVersion Version
	loaded         bool
	loadedAt       clock.Millis
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
	// currentGeneration and hasCarriedOver are what Generation returns.
	currentGeneration int64
	hasCarriedOver    bool
	// missingSince has the time at which a row that is still kept was first missing from a snapshot.
	missingSince map[string]clock.Millis
	// removed has the rows that were removed lately, as they were before.
	removed map[string]removedRow
	// latestEra is the latest era of the source that was heard of.
	latestEra Era
	// held has the rows that were removed in an earlier era, and that the restored source has from its copy.
	held map[string]heldRow
	// recheck ends a wait for changes or for SetFollowing.
	recheck chan struct{}
}

// New returns an empty replica of the named table; WithSource is required.
func New(name string, opts ...Option) *Replica {
	r := &Replica{
		name: name, clock: clock.Monotonic(), log: log.Log, changed: func([]Row) {},
		supersedes: func(Row, Row) bool { return false }, onEra: func(Era) {}, generation: func([]Row) int64 { return 0 },
		identity: func(row Row) string { return string(row.Value) },
		rows:     map[string]Row{}, deleted: map[string]Row{}, missingSince: map[string]clock.Millis{}, removed: map[string]removedRow{},
		held: map[string]heldRow{}, recheck: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Position returns the source's position up to which changes are known, and whether the table was ever loaded.
func (r *Replica) Position() (Position, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.position(), r.loaded
}

// ContentPosition returns the position of the latest known change of a row, and whether the table was ever loaded.
func (r *Replica) ContentPosition() (Position, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	position := r.position()
	position.Version = r.contentVersion
	return position, r.loaded
}

// position returns the position up to which changes are known. The caller holds the lock.
func (r *Replica) position() Position {
	return Position{Era: r.era, Version: r.version, Unsettled: len(r.missingSince)+len(r.held) > 0}
}

// Failing reports whether this instance can't read the source, as of its last attempt. A failure is forgotten some time after
// the instance stopped following the source.
func (r *Replica) Failing() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.failing && !(r.passive && r.clock.Now()-r.failedAt >= failureRetention)
}

// Since returns the changes after a position, or all rows if it is zero, unsettled or of another era, or precedes the known changes. Rows
// that are missing or held back are always part of it.
func (r *Replica) Since(after Position) Batch {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	complete := after.Version == 0 || after.Era != r.era || after.Unsettled || after.Version < r.historyStart
	batch := NewBatch(r.position(), nil, complete)
	batch.Recent = r.clock.Now()-r.loadedAt < missingRowGrace
	for _, row := range r.list() {
		_, row.Missing = r.missingSince[row.Key]
		if complete || row.Missing || row.Version > after.Version {
			batch.Rows = append(batch.Rows, row)
		}
	}
	for _, row := range r.deleted {
		if !complete && row.Version > after.Version {
			batch.Rows = append(batch.Rows, row)
		}
	}
	for _, h := range r.held {
		batch.Rows = append(batch.Rows, h.passedOn())
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

// Merge applies rows that another instance read from the same source: all of them, or the changes after a position that this
// replica had. Of a batch that is not newer than the replica, only rows count that this replica has from an earlier era's older copy;
// changes are ignored before the replica is loaded and across eras.
func (r *Replica) Merge(batch Batch) {
	r.mutex.Lock()
	if !batch.Complete && (!r.loaded || batch.Era != r.era) {
		r.mutex.Unlock()
		return
	}
	if r.loaded && batch.Position().Compare(r.position()) <= 0 {
		changed := r.applyLaterStates(batch.Rows)
		r.mutex.Unlock()
		r.notify(changed)
		return
	}
	era, loaded := r.era, r.loaded
	changed := r.apply(batch, fromPeer)
	wake := r.passive && len(r.held) > 0
	r.mutex.Unlock()
	r.notify(changed)
	if !loaded || batch.Era != era {
		r.onEra(batch.Era)
	}
	if wake {
		r.Recheck() // Run waits until the first held row is due
	}
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

// apply merges a batch that was read in a mode and reports whether a row changed. Rows that are missing from a complete batch stay
// for a grace period if they may come back. The caller holds the lock.
func (r *Replica) apply(batch Batch, mode readMode) bool {
	changed := !r.loaded
	restored := r.loaded && batch.Era > r.era
	if restored {
		r.carryOver(batch.Position())
	}
	r.era = batch.Era
	r.version = max(r.version, batch.Version)
	seen := make(map[string]bool, len(batch.Rows))
	before := len(r.rows)
	for _, row := range batch.Rows {
		seen[row.Key] = true
		if r.holdBack(&row, batch.Complete, restored) {
			changed = changed || len(r.rows) != before
			continue
		}
		r.noteMissing(&row)
		r.contentVersion = max(r.contentVersion, row.Version)
		changed = r.applyRow(row) || changed
	}
	if batch.Complete {
		changed = r.removeMissing(seen, mode, restored, batch.Recent) || changed
	}
	if changed || restored {
		r.update()
	}
	if !r.loaded {
		r.loaded, r.loadedAt = true, r.clock.Now()
	}
	return changed
}

// applyRow installs or removes a row unless a later state of it is known, and reports whether that changed the table. The caller holds
// the lock.
func (r *Replica) applyRow(row Row) bool {
	old, known := r.rows[row.Key]
	switch {
	case known && !r.replaces(row, old):
		return false
	case row.Deleted:
		r.remove(row)
		return known
	}
	r.rows[row.Key] = row
	delete(r.deleted, row.Key)
	delete(r.removed, row.Key)
	return true
}

// replaces reports whether a row takes the place of the known one.
func (r *Replica) replaces(row, known Row) bool {
	switch {
	case row.Version == carriedOver:
		return r.supersedes(row, known)
	case known.Version == carriedOver:
		return row.Deleted || !r.supersedes(known, row)
	}
	return row.Version > known.Version
}

// remove removes the row of a tombstone. The caller holds the lock.
func (r *Replica) remove(tombstone Row) {
	if row, known := r.rows[tombstone.Key]; known {
		r.rememberRemoved(row)
	}
	delete(r.rows, tombstone.Key)
	r.deleted[tombstone.Key] = tombstone
}

// removeMissing removes the rows that are missing from a complete batch, after a grace period if they may come back.
// The version at which a row was removed is not known, so its tombstone gets the version of the batch. The caller holds the lock.
func (r *Replica) removeMissing(seen map[string]bool, mode readMode, restored, recent bool) bool {
	r.removeHeld(seen)
	now := r.clock.Now()
	removed := !r.loaded
	if !r.loaded {
		r.historyStart = r.version
	}
	for key, row := range r.rows {
		if seen[key] {
			continue
		}
		since, missing := r.missingSince[key]
		switch {
		case !r.keepMissing || mode == fromPeer && !recent:
		case mode == fromPeer && row.Version != carriedOver:
		case !missing && (mode == readWhole || restored || mode == fromPeer):
			r.missingSince[key] = now
			continue
		case missing && now-since < missingRowGrace:
			continue
		}
		delete(r.missingSince, key)
		r.remove(Row{Key: key, Version: r.version, Deleted: true})
		r.contentVersion = r.version
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
